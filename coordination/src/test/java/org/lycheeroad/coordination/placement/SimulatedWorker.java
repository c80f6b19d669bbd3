package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.task.WorkerReport;

/** A simulated worker that executes orders as docs/design.md specifies, without a transport. */
final class SimulatedWorker {
    record TaskKey(JobId job, int member, int attempt) {}

    static final class Task {
        TaskState mState;
        List<Integer> mAccelerators;
        JobSpec mSpec;
        long mExpiresAtMs;
    }

    final WorkerId mId;
    final Map<TaskKey, Task> mTasks = new LinkedHashMap<>();
    boolean mAlive = true;

    /** True while the worker runs but gets no orders and sends no reports. */
    boolean mPartitioned;

    boolean mIgnoresCheckpoint = true;
    long mIncarnation = 1;
    long mSequence;
    long mToken;

    SimulatedWorker(WorkerId id) {
        mId = id;
    }

    /** Starts the worker as a new process without tasks. */
    void restart() {
        mTasks.clear();
        mIncarnation++;
        mSequence = 0;
        mAlive = true;
    }

    /** Ends the tasks whose lease has expired. */
    void expire(long nowMs) {
        for (Task task : mTasks.values()) {
            if (task.mState.holdsAccelerators() && nowMs >= task.mExpiresAtMs) {
                task.mState = TaskState.LAPSED;
            }
        }
    }

    WorkerReport report() {
        List<TaskReport> tasks = new ArrayList<>();
        mTasks.forEach(
                (key, task) ->
                        tasks.add(
                                new TaskReport(
                                        key.job(),
                                        key.member(),
                                        key.attempt(),
                                        task.mState,
                                        task.mAccelerators,
                                        task.mSpec,
                                        0)));
        return new WorkerReport(mId, mIncarnation, ++mSequence, mToken, tasks);
    }

    PlacementEvent.OrderAnswered handleOrder(Order order, long nowMs) {
        expire(nowMs);
        TaskKey key = new TaskKey(order.job(), order.member(), order.attempt());
        boolean accepted = execute(key, order, nowMs);
        return new PlacementEvent.OrderAnswered(
                mId,
                order.job(),
                order.member(),
                order.attempt(),
                order.kind(),
                accepted,
                accepted ? "" : "refused in this state");
    }

    /** Executes an order and returns whether it is accepted. */
    private boolean execute(TaskKey key, Order order, long nowMs) {
        Task task = mTasks.get(key);
        switch (order.kind()) {
            case RESERVE -> {
                if (task != null) {
                    return task.mState.holdsAccelerators();
                }
                for (Task other : mTasks.values()) {
                    if (other.mState.holdsAccelerators()
                            && other.mAccelerators.stream()
                                    .anyMatch(order.accelerators()::contains)) {
                        return false;
                    }
                }
                Task reserved = new Task();
                reserved.mState = TaskState.RESERVED;
                reserved.mAccelerators = order.accelerators();
                reserved.mSpec = order.spec();
                reserved.mExpiresAtMs = nowMs + order.leaseMs();
                mTasks.put(key, reserved);
                return true;
            }
            case CONFIRM -> {
                return transition(task, TaskState.RESERVED, TaskState.CONFIRMED, order, nowMs);
            }
            case START -> {
                return transition(task, TaskState.CONFIRMED, TaskState.RUNNING, order, nowMs);
            }
            case RENEW -> {
                return transition(task, TaskState.RUNNING, TaskState.RUNNING, order, nowMs);
            }
            case CHECKPOINT, THROTTLE -> {
                return task != null && task.mState == TaskState.RUNNING;
            }
            case STOP -> {
                if (task != null && task.mState.holdsAccelerators()) {
                    task.mState = TaskState.STOPPED;
                }
                return true;
            }
            case ACK -> {
                if (task != null && !task.mState.holdsAccelerators()) {
                    mTasks.remove(key);
                }
                return true;
            }
        }
        throw new AssertionError("unknown order kind " + order.kind());
    }

    /** Moves a task from one state to another and sets its lease; accepts repeated orders. */
    private static boolean transition(
            Task task, TaskState from, TaskState to, Order order, long nowMs) {
        if (task == null) {
            return false;
        }
        if (task.mState == from) {
            task.mState = to;
            task.mExpiresAtMs = nowMs + order.leaseMs();
            return true;
        }
        return task.mState == to;
    }
}
