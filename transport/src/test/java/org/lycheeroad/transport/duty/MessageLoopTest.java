package org.lycheeroad.transport.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the change between the idle and the ordinary tick interval. */
class MessageLoopTest {
    private static final long IDLE_TICK_INTERVAL_MS = 60_000;

    /** A message whose handling overflows the stack. */
    private static final String OVERFLOW = "overflow";

    private final BlockingQueue<String> mHandled = new LinkedBlockingQueue<>();
    private final AtomicInteger mMessageCount = new AtomicInteger();
    private final MessageLoop<String> mLoop =
            new MessageLoop<>(
                    "test",
                    8,
                    10,
                    IDLE_TICK_INTERVAL_MS,
                    new MessageLoopHandler<>() {
                        @Override
                        public void handle(String message) {
                            if (message.equals(OVERFLOW)) {
                                throw new StackOverflowError("test");
                            }
                            mMessageCount.incrementAndGet();
                            mHandled.add(message);
                        }

                        @Override
                        public void tick() {
                            mHandled.add("tick");
                        }

                        @Override
                        public boolean isIdle() {
                            return mMessageCount.get() == 0;
                        }
                    });

    @AfterEach
    void stop() {
        mLoop.stop();
    }

    /**
     * Guards against a stop that does not wake the thread, which then outlives the 2 s wait of the
     * stop.
     */
    @Test
    void stopDoesNotWaitForTheIdleTick() throws Exception {
        mLoop.start();
        // The thread has to be waiting for its tick before the stop.
        assertThat(mHandled.poll(200, TimeUnit.MILLISECONDS)).isNull();
        long startNanos = System.nanoTime();
        mLoop.stop();
        assertThat(System.nanoTime() - startNanos).isLessThan(TimeUnit.MILLISECONDS.toNanos(1_900));
    }

    /** Guards against one message, such as a deeply nested one, that ends the loop's thread. */
    @Test
    void stackOverflowOfOneMessageDoesNotEndTheLoop() throws Exception {
        mLoop.start();
        mLoop.offer(OVERFLOW);
        mLoop.offer("work");
        assertThat(mHandled.poll(5, TimeUnit.SECONDS)).isEqualTo("work");
    }

    @Test
    void messageRestoresTheOrdinaryTickRate() throws Exception {
        mLoop.start();
        assertThat(mHandled.poll(200, TimeUnit.MILLISECONDS)).isNull();
        mLoop.offer("work");
        assertThat(mHandled.poll(5, TimeUnit.SECONDS)).isEqualTo("work");
        assertThat(mHandled.poll(5, TimeUnit.SECONDS)).isEqualTo("tick");
        assertThat(mHandled.poll(5, TimeUnit.SECONDS)).isEqualTo("tick");
    }
}
