package org.lycheeroad.standins.workers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lycheeroad.protocol.worker.OrderResult;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.task.WorkerReport;

/**
 * State machine of one worker, which holds accelerators under leases and accepts orders only with
 * the highest fencing token that it has seen.
 *
 * <p>Not thread-safe. Times are milliseconds of the monotonic clock.
 */
final class WorkerModel {
    private static final Pattern RUN_MS_PATTERN = Pattern.compile("run-ms=(\\d{1,9})");
    private static final long DEFAULT_RUN_MS = 200;
    private static final long DEFAULT_LEASE_MS = 3_000;

    /** Run time of a task under the fault {@code fail-tasks}. */
    private static final long FAIL_AFTER_MS = 20;

    private final WorkerId mId;
    private final int mAccelerators;
    private final TaskRunLog mRunLog;
    private final Map<String, Long> mCheckpointedMs;
    private final Map<String, Task> mTasks = new TreeMap<>();
    private long mIncarnation = 1;
    private long mReportSequence = 1;
    private long mFencingToken;
    private EntryId mOwner;
    private String mFaultMode = "none";

    private static final class Task {
        private final Order mOrder;
        private TaskState mState = TaskState.RESERVED;
        private long mLeaseExpiryMs;
        private long mStartMs;
        private long mPlannedEndMs;
        private long mRunDurationMs;
        private long mRestoredProgressMs;
        private int mRunLogIndex;

        Task(Order order) {
            mOrder = order;
        }
    }

    /**
     * Creates a worker. All workers share the checkpoints, as on a network file system, so that a
     * task can be restored on another worker.
     */
    WorkerModel(
            WorkerId id, int accelerators, TaskRunLog runLog, Map<String, Long> checkpointedMs) {
        mId = id;
        mAccelerators = accelerators;
        mRunLog = runLog;
        mCheckpointedMs = checkpointedMs;
    }

    /**
     * Returns the version of the report, which changes whenever a task, its state or the fencing
     * token changes.
     */
    ReportVersion reportVersion() {
        return new ReportVersion(mIncarnation, mReportSequence);
    }

    long fencingToken() {
        return mFencingToken;
    }

    boolean isReachable() {
        return !mFaultMode.equals("unreachable") && !mFaultMode.equals("kill");
    }

    /**
     * Adopts the request's fencing token if it is newer; returns whether the sender may give orders
     * to this worker.
     */
    boolean acceptToken(OrdersRequest request) {
        if (request.token() > mFencingToken) {
            mFencingToken = request.token();
            mOwner = request.owner();
            mReportSequence++;
            return true;
        }
        return request.token() == mFencingToken && request.owner().equals(mOwner);
    }

    OrderResult applyOrder(Order order, long nowMs) {
        endFinishedTasks(nowMs);
        String refusal =
                mFaultMode.equals("refuse") ? "refusing orders" : executeOrder(order, nowMs);
        return new OrderResult(
                order.job(),
                order.member(),
                order.attempt(),
                order.kind(),
                refusal.isEmpty(),
                refusal);
    }

    /**
     * Renews the leases of all running tasks if the report still has the known version; returns
     * whether it did.
     */
    boolean renewAllIfUnchanged(String knownVersion, long leaseDurationMs, long nowMs) {
        endFinishedTasks(nowMs);
        if (mFaultMode.equals("refuse") || !reportVersion().toString().equals(knownVersion)) {
            return false;
        }
        for (Task task : mTasks.values()) {
            if (task.mState == TaskState.RUNNING) {
                task.mLeaseExpiryMs = nowMs + leaseDurationMs;
            }
        }
        return true;
    }

    /** Ends the tasks whose run time is over or whose lease has expired. */
    void endFinishedTasks(long nowMs) {
        for (Task task : mTasks.values()) {
            boolean isRunning = task.mState == TaskState.RUNNING;
            if (isRunning
                    && task.mPlannedEndMs <= nowMs
                    && task.mPlannedEndMs <= task.mLeaseExpiryMs) {
                boolean fails =
                        mFaultMode.equals("fail-tasks")
                                || task.mOrder.spec().payload().contains("fail");
                endTask(task, fails ? TaskState.FAILED : TaskState.DONE, task.mPlannedEndMs, nowMs);
            } else if (task.mState.holdsAccelerators() && task.mLeaseExpiryMs <= nowMs) {
                endTask(task, TaskState.LAPSED, task.mLeaseExpiryMs, nowMs);
            }
        }
    }

    WorkerReport report(long nowMs) {
        endFinishedTasks(nowMs);
        List<TaskReport> tasks = new ArrayList<>();
        for (Task task : mTasks.values()) {
            Order order = task.mOrder;
            long runDurationMs =
                    task.mState == TaskState.RUNNING ? nowMs - task.mStartMs : task.mRunDurationMs;
            tasks.add(
                    new TaskReport(
                            order.job(),
                            order.member(),
                            order.attempt(),
                            task.mState,
                            order.accelerators(),
                            order.spec(),
                            runDurationMs));
        }
        return new WorkerReport(mId, mIncarnation, mReportSequence, mFencingToken, tasks);
    }

    void setFault(String mode, long nowMs) {
        endFinishedTasks(nowMs);
        if (mode.equals("kill")) {
            killTasks();
        } else if (mode.equals("restart")) {
            killTasks();
            mIncarnation++;
            mReportSequence = 1;
            mFencingToken = 0;
            mOwner = null;
        }
        mFaultMode = mode;
    }

    private String executeOrder(Order order, long nowMs) {
        Task task = mTasks.get(taskKey(order));
        if (order.kind() == OrderKind.RESERVE) {
            if (task == null) {
                return reserve(order, nowMs);
            }
            return task.mState == TaskState.RESERVED ? "" : "task is " + task.mState;
        }
        if (order.kind() == OrderKind.STOP) {
            if (task != null && task.mState.holdsAccelerators()) {
                endTask(task, TaskState.STOPPED, nowMs, nowMs);
            }
            return "";
        }
        if (order.kind() == OrderKind.ACK) {
            if (task != null && task.mState.holdsAccelerators()) {
                return "task is not finished";
            }
            if (mTasks.remove(taskKey(order)) != null) {
                mReportSequence++;
            }
            return "";
        }
        if (task == null) {
            return "no such task";
        }
        return switch (order.kind()) {
            case CONFIRM -> confirm(task, order, nowMs);
            case START -> start(task, order, nowMs);
            case RENEW -> renew(task, order, nowMs);
            case CHECKPOINT -> checkpoint(task, nowMs);
            case THROTTLE -> task.mState == TaskState.RUNNING ? "" : "task is not running";
            case RESERVE, STOP, ACK ->
                    throw new IllegalStateException(
                            "RESERVE, STOP and ACK are handled before the switch");
        };
    }

    private String reserve(Order order, long nowMs) {
        Set<Integer> usedAccelerators = new HashSet<>();
        for (Task task : mTasks.values()) {
            if (task.mState.holdsAccelerators()) {
                usedAccelerators.addAll(task.mOrder.accelerators());
            }
        }
        for (int accelerator : order.accelerators()) {
            if (accelerator < 0 || accelerator >= mAccelerators) {
                return "no accelerator " + accelerator;
            }
            if (!usedAccelerators.add(accelerator)) {
                return "accelerator " + accelerator + " is in use";
            }
        }
        Task task = new Task(order);
        task.mLeaseExpiryMs = nowMs + leaseMs(order);
        mTasks.put(taskKey(order), task);
        mReportSequence++;
        return "";
    }

    private String confirm(Task task, Order order, long nowMs) {
        if (task.mState != TaskState.RESERVED && task.mState != TaskState.CONFIRMED) {
            return "task is " + task.mState;
        }
        mReportSequence += task.mState == TaskState.CONFIRMED ? 0 : 1;
        task.mState = TaskState.CONFIRMED;
        task.mLeaseExpiryMs = nowMs + leaseMs(order);
        return "";
    }

    private String start(Task task, Order order, long nowMs) {
        if (task.mState == TaskState.RUNNING) {
            return "";
        }
        if (task.mState != TaskState.CONFIRMED) {
            return "task is " + task.mState;
        }
        task.mState = TaskState.RUNNING;
        mReportSequence++;
        task.mLeaseExpiryMs = nowMs + leaseMs(order);
        task.mStartMs = nowMs;
        task.mRestoredProgressMs = mCheckpointedMs.getOrDefault(memberKey(order), 0L);
        task.mPlannedEndMs = nowMs + Math.max(1, runMs(task.mOrder) - task.mRestoredProgressMs);
        if (mFaultMode.equals("fail-tasks")) {
            task.mPlannedEndMs = nowMs + FAIL_AFTER_MS;
        }
        task.mRunLogIndex =
                mRunLog.begin(
                        new TaskRun(
                                order.job().value(),
                                order.member(),
                                task.mOrder.spec().shape().workers(),
                                order.attempt(),
                                mId.value(),
                                task.mOrder.accelerators().size(),
                                System.currentTimeMillis(),
                                0,
                                ""));
        return "";
    }

    private static String renew(Task task, Order order, long nowMs) {
        if (task.mState != TaskState.RUNNING) {
            return "task is " + task.mState;
        }
        task.mLeaseExpiryMs = nowMs + leaseMs(order);
        return "";
    }

    private String checkpoint(Task task, long nowMs) {
        if (task.mState != TaskState.RUNNING) {
            return "task is " + task.mState;
        }
        if (!mFaultMode.equals("ignore-checkpoint")) {
            mCheckpointedMs.put(
                    memberKey(task.mOrder), task.mRestoredProgressMs + nowMs - task.mStartMs);
        }
        return "";
    }

    private void endTask(Task task, TaskState state, long endMs, long nowMs) {
        if (task.mState == TaskState.RUNNING) {
            task.mRunDurationMs = endMs - task.mStartMs;
            mRunLog.end(
                    task.mRunLogIndex, System.currentTimeMillis() - (nowMs - endMs), state.name());
        }
        task.mState = state;
        mReportSequence++;
    }

    private void killTasks() {
        for (Task task : mTasks.values()) {
            if (task.mState == TaskState.RUNNING) {
                mRunLog.end(task.mRunLogIndex, System.currentTimeMillis(), "KILLED");
            }
        }
        mTasks.clear();
        mReportSequence++;
    }

    private static String taskKey(Order order) {
        return memberKey(order) + "/" + order.attempt();
    }

    private static String memberKey(Order order) {
        return order.job() + "/" + order.member();
    }

    private static long leaseMs(Order order) {
        return order.leaseMs() > 0 ? order.leaseMs() : DEFAULT_LEASE_MS;
    }

    private static long runMs(Order order) {
        Matcher matcher = RUN_MS_PATTERN.matcher(order.spec().payload());
        return matcher.find() ? Long.parseLong(matcher.group(1)) : DEFAULT_RUN_MS;
    }
}
