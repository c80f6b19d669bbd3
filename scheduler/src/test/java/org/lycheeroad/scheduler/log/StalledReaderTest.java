package org.lycheeroad.scheduler.log;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.transport.events.EventLog;
import org.slf4j.LoggerFactory;

/** A reader of standard output that stands still must hold nobody up. */
class StalledReaderTest {
    private static final int EVENTS = 20_000;

    /** Far above what recording takes, and far below what waiting for the reader takes. */
    private static final long MAX_TOOK_MS = 5_000;

    private final Logger mLines = (Logger) LoggerFactory.getLogger("lycheeroad.events");
    private final StalledAppender mAppender = new StalledAppender();
    private final EventLog mLog = new EventLog(new EntryId("vm"), new HybridClock(), 16);

    @BeforeEach
    void start() {
        mAppender.setContext(mLines.getLoggerContext());
        mAppender.start();
        mLines.setAdditive(false);
        mLines.addAppender(mAppender);
        mLog.start();
    }

    @AfterEach
    void stop() {
        mAppender.mReading.countDown();
        mLog.stop();
        mLines.detachAppender(mAppender);
        mLines.setAdditive(true);
    }

    /**
     * A decision that waits for its log line is late, and a lost line that nobody sees misleads.
     */
    @Test
    void recordingGoesOnAndTheLostLinesAreReported() throws InterruptedException {
        long begin = System.nanoTime();
        for (int i = 0; i < EVENTS; i++) {
            mLog.record(EventCode.JOB_ACCEPTED, "n=" + i);
        }
        long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - begin);
        assertThat(tookMs).isLessThan(MAX_TOOK_MS);
        long lost = mLog.lostLineCount();
        assertThat(lost).isPositive();
        mAppender.mReading.countDown();
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (mAppender.mWritten.stream().noneMatch(line -> line.contains("lines=" + lost))) {
            assertThat(System.nanoTime()).as("report of lost lines within 20 s").isLessThan(end);
            Thread.sleep(10);
        }
    }

    /** Stands still until it may read. */
    private static final class StalledAppender extends AppenderBase<ILoggingEvent> {
        private final CountDownLatch mReading = new CountDownLatch(1);
        private final List<String> mWritten = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent event) {
            try {
                mReading.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            String line = event.getFormattedMessage();
            if (line.contains("lost")) {
                mWritten.add(line);
            }
        }
    }
}
