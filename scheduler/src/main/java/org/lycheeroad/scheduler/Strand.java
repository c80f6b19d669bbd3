package org.lycheeroad.scheduler;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The thread of one duty, to which answers and timers of other threads are handed. */
public final class Strand {
    private static final Logger LOG = LoggerFactory.getLogger(Strand.class);

    /** Far more than the calls that one VM has in flight. */
    private static final int RING = 16_384;

    private static final long TICK_MS = 1_000;

    private final String mName;
    private final MessageLoop<Runnable> mDuty;
    private final ScheduledExecutorService mTimers;
    private volatile Runnable mWhenDrained = () -> {};

    public Strand(String name, ScheduledExecutorService timers) {
        mName = name;
        mTimers = timers;
        mDuty = new MessageLoop<>(name, RING, TICK_MS, new Handler());
    }

    public void start() {
        mDuty.start();
    }

    public void stop() {
        mDuty.stop();
    }

    /** Sets what is done each time that the last waiting task has run. */
    public void whenDrained(Runnable action) {
        mWhenDrained = action;
    }

    /** Runs a task on the strand. */
    public void execute(Runnable task) {
        if (!mDuty.offer(task)) {
            LOG.warn("Strand {} is full or stopping and drops a task", mName);
        }
    }

    /** Runs a task on the strand after a delay. */
    public Runnable schedule(long delayMs, Runnable task) {
        var timer = mTimers.schedule(() -> execute(task), delayMs, TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
    }

    /** Hands the outcome of a call to the strand. */
    public <T> void whenDone(CompletableFuture<T> call, BiConsumer<T, Throwable> action) {
        call.whenComplete((value, failure) -> execute(() -> action.accept(value, failure)));
    }

    private final class Handler implements MessageLoopHandler<Runnable> {
        @Override
        public void handle(Runnable task) {
            try {
                task.run();
            } finally {
                if (mDuty.queueLength() == 0) {
                    mWhenDrained.run();
                }
            }
        }

        @Override
        public void tick() {
            mWhenDrained.run();
        }
    }
}
