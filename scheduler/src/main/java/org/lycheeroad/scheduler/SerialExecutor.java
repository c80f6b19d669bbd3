package org.lycheeroad.scheduler;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.lycheeroad.transport.duty.Duty;
import org.lycheeroad.transport.duty.DutyHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The thread of one duty, to which answers and timers of other threads are handed. */
public final class SerialExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(SerialExecutor.class);

    /** Far more than the calls that one VM has in flight. */
    private static final int QUEUE_CAPACITY = 16_384;

    private static final long TICK_MS = 1_000;

    private final String mName;
    private final Duty<Runnable> mDuty;
    private final ScheduledExecutorService mTimerService;
    private volatile Runnable mIdleAction = () -> {};

    public SerialExecutor(String name, ScheduledExecutorService timers) {
        mName = name;
        mTimerService = timers;
        mDuty = new Duty<>(name, QUEUE_CAPACITY, TICK_MS, new TaskHandler());
    }

    public void start() {
        mDuty.start();
    }

    public void stop() {
        mDuty.stop();
    }

    /** Sets what is done each time that the last waiting task has run. */
    public void setIdleAction(Runnable action) {
        mIdleAction = action;
    }

    /** Runs a task on the strand. */
    public void execute(Runnable task) {
        if (!mDuty.offer(task)) {
            LOG.warn("Strand {} is full or stopping and drops a task", mName);
        }
    }

    /** Runs a task on the strand after a delay. */
    public Runnable schedule(long delayMs, Runnable task) {
        var timer = mTimerService.schedule(() -> execute(task), delayMs, TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
    }

    /** Hands the outcome of a call to the strand. */
    public <T> void whenComplete(CompletableFuture<T> call, BiConsumer<T, Throwable> action) {
        call.whenComplete((value, failure) -> execute(() -> action.accept(value, failure)));
    }

    private final class TaskHandler implements DutyHandler<Runnable> {
        @Override
        public void handle(Runnable task) {
            try {
                task.run();
            } finally {
                if (mDuty.depth() == 0) {
                    mIdleAction.run();
                }
            }
        }

        @Override
        public void tick() {
            mIdleAction.run();
        }
    }
}
