package org.lycheeroad.transport.events;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Predicate;
import org.lycheeroad.protocol.api.EventPage;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.event.TimelineEvent;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the newest events of this entry in memory and writes all events as JSON lines to a log.
 *
 * <p>A separate thread writes the lines. Lines that do not fit into its queue are dropped and
 * counted, and the count is recorded as an event later; the events themselves stay readable in
 * memory. All methods are thread-safe; recording and reading events does not block.
 */
public final class EventLog {
    private static final Logger LINE_LOG = LoggerFactory.getLogger("lycheeroad.events");
    private static final int LINE_QUEUE_CAPACITY = 4_096;
    private static final long LOST_LINES_CHECK_INTERVAL_MS = 1_000;
    private static final int MAX_PAGE_EVENTS = 1_000;

    private final EntryId mEntry;
    private final HybridClock mClock;
    private final TimelineEvent[] mRingBuffer;
    private final MessageLoop<TimelineEvent> mWriter;
    private final LongAdder mLostLineCount = new LongAdder();
    private long mEventCount;

    /** Creates a log that keeps the newest {@code capacity} events in memory. */
    public EventLog(EntryId entry, HybridClock clock, int capacity) {
        mEntry = entry;
        mClock = clock;
        mRingBuffer = new TimelineEvent[capacity];
        mWriter =
                new MessageLoop<>(
                        "events",
                        LINE_QUEUE_CAPACITY,
                        LOST_LINES_CHECK_INTERVAL_MS,
                        new LineWriter());
    }

    /** Starts the thread that writes lines. */
    public void start() {
        mWriter.start();
    }

    /** Writes the queued lines and stops the thread; waits at most 2 s. */
    public void stop() {
        mWriter.stop();
    }

    /** Records an event about the entry itself. */
    public void record(EventCode code, String text) {
        record(code, "", "", "", text);
    }

    /** Records an event; arguments that do not apply are empty strings. */
    public void record(EventCode code, String job, String request, String team, String text) {
        String fullText = text.isEmpty() ? code.text() : code.text() + ": " + text;
        TimelineEvent event;
        synchronized (this) {
            event =
                    new TimelineEvent(
                            mClock.next(System.currentTimeMillis()),
                            mEntry,
                            code.number(),
                            job,
                            request,
                            team,
                            fullText);
            mRingBuffer[(int) (mEventCount % mRingBuffer.length)] = event;
            mEventCount++;
        }
        if (!mWriter.offer(event)) {
            mLostLineCount.increment();
        }
    }

    /**
     * Returns the matching events from a position on, at most 1,000 of them, and the position from
     * which to continue.
     */
    public synchronized EventPage page(long after, Predicate<TimelineEvent> matches) {
        long oldest = Math.max(0, mEventCount - mRingBuffer.length);
        long position = Math.max(Math.min(after, mEventCount), oldest);
        List<TimelineEvent> matching = new ArrayList<>();
        while (position < mEventCount && matching.size() < MAX_PAGE_EVENTS) {
            TimelineEvent event = mRingBuffer[(int) (position % mRingBuffer.length)];
            if (matches.test(event)) {
                matching.add(event);
            }
            position++;
        }
        return new EventPage(position, after < oldest, matching);
    }

    /** Returns the number of lines waiting to be written. */
    public int lineQueueLength() {
        return mWriter.queueLength();
    }

    /** Returns the number of lines dropped because the queue of the writer was full. */
    public long lostLineCount() {
        return mLostLineCount.sum();
    }

    private final class LineWriter implements MessageLoopHandler<TimelineEvent> {
        private long mReportedLostLines;

        @Override
        public void handle(TimelineEvent event) {
            if (LINE_LOG.isInfoEnabled()) {
                LINE_LOG.info(Json.write(event));
            }
        }

        @Override
        public void tick() {
            long lost = lostLineCount();
            if (lost > mReportedLostLines) {
                record(
                        EventCode.LINES_LOST,
                        "lines=" + (lost - mReportedLostLines) + " all=" + lost);
                mReportedLostLines = lost;
            }
        }
    }
}
