package org.lycheeroad.entry.control;

import io.netty.channel.EventLoopGroup;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.BooleanSupplier;
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;

/** The thread on which all state of the control plane lives. */
final class ControlLoop {
    /** Candidates for a role act this far apart by their rank. */
    static final long TICK_MILLIS = 50;

    /** Divides the 250 ms of limit shares and the 500 ms of heartbeats. */
    private static final long IDLE_TICK_MILLIS = 125;

    private static final int CAPACITY = 16_384;
    private static final long FULL_RETRY_MILLIS = 20;

    private final EventLoopGroup mGroup;
    private final MessageLoop<Runnable> mDuty;
    private final AtomicLong mDelayed = new AtomicLong();

    /** Creates a loop that ticks more slowly while {@code idle} holds, which it asks itself. */
    ControlLoop(EventLoopGroup group, Runnable tick, BooleanSupplier idle) {
        mGroup = group;
        mDuty =
                new MessageLoop<>(
                        "membership",
                        CAPACITY,
                        TICK_MILLIS,
                        IDLE_TICK_MILLIS,
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
                                return idle.getAsBoolean();
                            }
                        });
    }

    void start() {
        mDuty.start();
    }

    void stop() {
        mDuty.stop();
    }

    /** Returns monotonic milliseconds. */
    static long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    /** Offers new work; returns false when the ring is full. */
    boolean offer(Runnable task) {
        return mDuty.offer(task);
    }

    /** Runs the end of work that was accepted before; a full ring only delays it. */
    void execute(Runnable task) {
        if (!mDuty.offer(task) && !mGroup.isShuttingDown()) {
            mDelayed.incrementAndGet();
            mGroup.schedule(() -> execute(task), FULL_RETRY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    /** Runs a task after a delay. */
    void later(long millis, Runnable task) {
        if (!mGroup.isShuttingDown()) {
            mGroup.schedule(() -> execute(task), millis, TimeUnit.MILLISECONDS);
        }
    }

    /** Handles a future's end on this thread. */
    <T> void on(CompletableFuture<T> future, BiConsumer<T, Throwable> handler) {
        future.whenComplete((value, failure) -> execute(() -> handler.accept(value, failure)));
    }

    /** Returns how often work was delayed because the ring was full. */
    long delayed() {
        return mDelayed.get();
    }
}
