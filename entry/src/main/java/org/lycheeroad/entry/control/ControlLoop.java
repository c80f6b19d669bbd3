package org.lycheeroad.entry.control;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.lycheeroad.transport.duty.Duty;
import org.lycheeroad.transport.duty.DutyHandler;

/** The thread on which all state of the control plane lives. */
final class ControlLoop {
    /** Candidates for a role act this far apart by their rank. */
    static final long TICK_INTERVAL_MILLIS = 50;

    /** Divides the 250 ms of limit shares and the 500 ms of heartbeats. */
    private static final long IDLE_TICK_INTERVAL_MILLIS = 125;

    private static final int QUEUE_CAPACITY = 16_384;
    private static final long QUEUE_FULL_RETRY_DELAY_MILLIS = 20;

    private final EventLoopGroup mEventLoopGroup;
    private final Duty<Runnable> mLoop;
    private final AtomicLong mDelayedTaskCount = new AtomicLong();

    /** Creates a loop that ticks more slowly while {@code idle} holds, which it asks itself. */
    ControlLoop(EventLoopGroup group, Runnable tick, BooleanSupplier idle) {
        mEventLoopGroup = group;
        mLoop =
                new Duty<>(
                        "membership",
                        QUEUE_CAPACITY,
                        TICK_INTERVAL_MILLIS,
                        IDLE_TICK_INTERVAL_MILLIS,
                        new DutyHandler<>() {
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
                                return idle.getAsBoolean();
                            }
                        });
    }

    void start() {
        mLoop.start();
    }

    void stop() {
        mLoop.stop();
    }

    /** Returns monotonic milliseconds. */
    static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Offers new work; returns false when the ring is full. */
    boolean tryExecute(Runnable task) {
        return mLoop.offer(task);
    }

    /** Runs the end of work that was accepted before; a full ring only delays it. */
    void execute(Runnable task) {
        if (!mLoop.offer(task) && !mEventLoopGroup.isShuttingDown()) {
            mDelayedTaskCount.incrementAndGet();
            mEventLoopGroup.schedule(
                    () -> execute(task), QUEUE_FULL_RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs a task after a delay. */
    void schedule(long millis, Runnable task) {
        if (!mEventLoopGroup.isShuttingDown()) {
            mEventLoopGroup.schedule(() -> execute(task), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles a future's end on this thread. */
    <T> void whenComplete(CompletableFuture<T> future, BiConsumer<T, Throwable> handler) {
        future.whenComplete((value, failure) -> execute(() -> handler.accept(value, failure)));
    }

    /** Returns how often work was delayed because the ring was full. */
    long delayedTaskCount() {
        return mDelayedTaskCount.get();
    }
}
