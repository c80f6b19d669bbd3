package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceName;

/**
 * Ends quarantines early for steps that stand still and that no other worker can run.
 *
 * <p>The users' rules allow a step to stand still for 3 s while under half of its service's
 * capacity is in use, and a lasting task for 9 s after its last run, however full the service is.
 * The worker is then on probation, so it is probed with one step.
 */
final class QuarantineYield {
    /** Leaves time within 3 s for the save of the start and for another step's probe. */
    private static final long MAX_WAIT_MS = 1_200;

    /** Leaves as much of 9 s for two starts that fail. */
    private static final long MAX_LASTING_WAIT_MS = 5_000;

    private final ClusterState mState;

    /** The steps that stand still, by when this was first seen while workers are quarantined. */
    private final Map<StepInstance, Long> mWaitingSinceMs = new HashMap<>();

    QuarantineYield(ClusterState state) {
        mState = state;
    }

    void yieldToWaitingSteps(long nowMs) {
        List<Worker> quarantined = new ArrayList<>();
        for (Worker worker : mState.workers.values()) {
            if (worker.isOnlyQuarantined(nowMs)) {
                quarantined.add(worker);
            }
        }
        if (quarantined.isEmpty()) {
            mWaitingSinceMs.clear();
            return;
        }
        quarantined.sort(Comparator.comparingLong(worker -> worker.quarantinedSinceMs));
        Set<StepInstance> waiting = waitingSteps();
        mWaitingSinceMs.keySet().retainAll(waiting);
        Map<ServiceName, Boolean> halfIdle = new HashMap<>();
        for (StepInstance step : waiting) {
            Long sinceMs = mWaitingSinceMs.putIfAbsent(step, nowMs);
            boolean lasting = step.plan.longRunning();
            if (sinceMs != null
                    && nowMs - sinceMs >= (lasting ? MAX_LASTING_WAIT_MS : MAX_WAIT_MS)
                    && (lasting
                            || halfIdle.computeIfAbsent(
                                    step.job.queue.service(), this::isHalfIdle))) {
                release(step, quarantined, nowMs);
            }
        }
    }

    /** Returns the ready steps of jobs of which nothing runs, and those of lasting tasks. */
    private Set<StepInstance> waitingSteps() {
        Set<StepInstance> waiting = new HashSet<>();
        for (Job job : mState.activeJobs.values()) {
            boolean running = hasRuns(job);
            for (List<StepInstance> steps : job.occurrences.values()) {
                for (StepInstance step : steps) {
                    if ((step.plan.longRunning() || !running)
                            && step.hasStartableTasks()
                            && job.isReady(step)) {
                        waiting.add(step);
                    }
                }
            }
        }
        return waiting;
    }

    private static boolean hasRuns(Job job) {
        for (List<StepInstance> steps : job.occurrences.values()) {
            for (StepInstance step : steps) {
                for (Task task : step.tasks) {
                    if (task.run != null) {
                        return true;
                    }
                }
            }
        }
        return false;
    }

    private boolean isHalfIdle(ServiceName service) {
        Resources capacity = Resources.NONE;
        Resources used = Resources.NONE;
        for (Worker worker : mState.workers.values()) {
            if (worker.registered && worker.entry.service().equals(service)) {
                capacity = capacity.plus(worker.entry.capacity());
                used = used.plus(worker.usedResources());
            }
        }
        return used.times(2).fitsIn(capacity);
    }

    /** Releases workers for a step, longest in quarantine first, if it fits only with them. */
    private void release(StepInstance step, List<Worker> quarantined, long nowMs) {
        int needed = step.plan.gang() ? step.plan.count() : 1;
        int fitting = 0;
        for (Worker worker : mState.workers.values()) {
            if (worker.isSchedulable(nowMs)) {
                fitting += countFitting(step, worker, needed);
            }
        }
        List<Worker> released = new ArrayList<>();
        for (Worker worker : quarantined) {
            int more = countFitting(step, worker, needed);
            if (fitting < needed && more > 0 && worker.isOnlyQuarantined(nowMs)) {
                released.add(worker);
                fitting += more;
            }
        }
        if (fitting >= needed) {
            for (Worker worker : released) {
                worker.quarantinedUntilMs = nowMs;
                worker.onProbation = true;
            }
        }
    }

    private static int countFitting(StepInstance step, Worker worker, int max) {
        return Placement.isEligible(step, worker)
                ? Placement.countFitting(step, worker, worker.resourcesFreeFor(step), max)
                : 0;
    }
}
