package org.lycheeroad.scheduler;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs tasks, delayed tasks and completion callbacks one at a time on a thread of its own. */
public final class SerialExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(SerialExecutor.class);

    /** Far more than the number of calls that one VM has in flight. */
    private static final int QUEUE_CAPACITY = 16_384;

    private static final long TICK_MS = 1_000;

    private final String mName;
    private final MessageLoop<Runnable> mDuty;
    private final ScheduledExecutorService mTimerService;
    private volatile Runnable mIdleAction = () -> {};

    public SerialExecutor(String name, ScheduledExecutorService timerService) {
        mName = name;
        mTimerService = timerService;
        mDuty = new MessageLoop<>(name, QUEUE_CAPACITY, TICK_MS, new TaskHandler());
    }

    public void start() {
        mDuty.start();
    }

    public void stop() {
        mDuty.stop();
    }

    /** Sets the action to run whenever the queue becomes empty, and periodically. */
    public void setIdleAction(Runnable action) {
        mIdleAction = action;
    }

    /** Runs a task on this executor's thread; drops it if the queue is full or stopping. */
    public void execute(Runnable task) {
        if (!mDuty.offer(task)) {
            LOG.warn("Executor {} dropped a task: its queue is full or it is stopping", mName);
        }
    }

    /**
     * Runs a task on this executor's thread after a delay.
     *
     * @return an action that cancels the task
     */
    public Runnable schedule(long delayMs, Runnable task) {
        var timer = mTimerService.schedule(() -> execute(task), delayMs, TimeUnit.MILLISECONDS);
        return () -> timer.cancel(false);
    }

    /** Passes the result or failure of a call to an action on this executor's thread. */
    public <T> void whenComplete(CompletableFuture<T> call, BiConsumer<T, Throwable> action) {
        call.whenComplete((value, failure) -> execute(() -> action.accept(value, failure)));
    }

    private final class TaskHandler implements MessageLoopHandler<Runnable> {
        @Override
        public void handle(Runnable task) {
            try {
                task.run();
            } finally {
                if (mDuty.queueLength() == 0) {
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
