package org.lycheeroad.entry.control;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;

/** The control thread, which owns all mutable state of the control plane. */
final class ControlLoop {
    /** Equals the delay per rank between candidates for a role, so that they act in turn. */
    static final long TICK_INTERVAL_MILLIS = 50;

    /** A divisor of the intervals of limit shares (250 ms) and of heartbeats (500 ms). */
    private static final long IDLE_TICK_INTERVAL_MILLIS = 125;

    private static final int QUEUE_CAPACITY = 16_384;
    private static final long QUEUE_FULL_RETRY_DELAY_MILLIS = 20;

    private final EventLoopGroup mEventLoopGroup;
    private final MessageLoop<Runnable> mMessageLoop;
    private final AtomicLong mDelayedTaskCount = new AtomicLong();

    /**
     * Creates a loop that is not started yet.
     *
     * @param isIdle returns whether the loop may tick at the longer idle interval; called by the
     *     loop
     */
    ControlLoop(EventLoopGroup eventLoopGroup, Runnable tick, BooleanSupplier isIdle) {
        mEventLoopGroup = eventLoopGroup;
        mMessageLoop =
                new MessageLoop<>(
                        "membership",
                        QUEUE_CAPACITY,
                        TICK_INTERVAL_MILLIS,
                        IDLE_TICK_INTERVAL_MILLIS,
                        new MessageLoopHandler<>() {
                            @Override
                            public void handle(Runnable task) {
                                task.run();
                            }

                            @Override
                            public void tick() {
                                tick.run();
                            }

                            @Override
                            public boolean isIdle() {
                                return isIdle.getAsBoolean();
                            }
                        });
    }

    void start() {
        mMessageLoop.start();
    }

    void stop() {
        mMessageLoop.stop();
    }

    /** Returns the time of a monotonic clock in milliseconds. */
    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Enqueues a task; returns false if the queue is full. */
    boolean tryExecute(Runnable task) {
        return mMessageLoop.offer(task);
    }

    /** Enqueues the continuation of accepted work; if the queue is full, it is retried later. */
    void execute(Runnable task) {
        if (!mMessageLoop.offer(task) && !mEventLoopGroup.isShuttingDown()) {
            mDelayedTaskCount.incrementAndGet();
            mEventLoopGroup.schedule(
                    () -> execute(task), QUEUE_FULL_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Enqueues a task after a delay. */
    void schedule(long delayMillis, Runnable task) {
        if (!mEventLoopGroup.isShuttingDown()) {
            mEventLoopGroup.schedule(() -> execute(task), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    /** Calls a handler on the control thread when a future completes. */
    <T> void whenComplete(CompletableFuture<T> future, BiConsumer<T, Throwable> handler) {
        future.whenComplete((value, failure) -> execute(() -> handler.accept(value, failure)));
    }

    /** Returns how many times a task was delayed because the queue was full. */
    long delayedTaskCount() {
        return mDelayedTaskCount.get();
    }
}
