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

/** Checks that a stalled reader of standard output does not block event recording. */
class StalledReaderTest {
    private static final int EVENTS = 20_000;

    /** Far above the time that recording takes, and far below that of waiting for the reader. */
    private static final long MAX_RECORDING_MS = 5_000;

    private final Logger mEventLogger = (Logger) LoggerFactory.getLogger("lycheeroad.events");
    private final StalledAppender mAppender = new StalledAppender();
    private final EventLog mEventLog = new EventLog(new EntryId("vm"), new HybridClock(), 16);

    @BeforeEach
    void setUp() {
        mAppender.setContext(mEventLogger.getLoggerContext());
        mAppender.start();
        mEventLogger.setAdditive(false);
        mEventLogger.addAppender(mAppender);
        mEventLog.start();
    }

    @AfterEach
    void tearDown() {
        mAppender.mResumed.countDown();
        mEventLog.stop();
        mEventLogger.detachAppender(mAppender);
        mEventLogger.setAdditive(true);
    }

    /**
     * Waiting for the reader would delay scheduling decisions, and unreported losses would make the
     * log misleading.
     */
    @Test
    void recordingDoesNotBlockAndLostLinesAreReported() throws InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < EVENTS; i++) {
            mEventLog.record(EventCode.JOB_ACCEPTED, "n=" + i);
        }
        long recordingMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertThat(recordingMs).isLessThan(MAX_RECORDING_MS);
        long lostLines = mEventLog.lostLineCount();
        assertThat(lostLines).isPositive();
        mAppender.mResumed.countDown();
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (mAppender.mLostLineReports.stream()
                .noneMatch(line -> line.contains("lines=" + lostLines))) {
            assertThat(System.nanoTime())
                    .as("report of lost lines within 20 s")
                    .isLessThan(deadlineNanos);
            Thread.sleep(10);
        }
    }

    /** Blocks until it is resumed. */
    private static final class StalledAppender extends AppenderBase<ILoggingEvent> {
        private final CountDownLatch mResumed = new CountDownLatch(1);
        private final List<String> mLostLineReports = new CopyOnWriteArrayList<>();

        @Override
        protected void append(ILoggingEvent event) {
            try {
                mResumed.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            String line = event.getFormattedMessage();
            if (line.contains("lost")) {
                mLostLineReports.add(line);
            }
        }
    }
}
