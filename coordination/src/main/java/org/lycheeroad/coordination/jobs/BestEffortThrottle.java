package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import org.lycheeroad.coordination.jobs.Run.Phase;

/**
 * Limits the speed of best-effort tasks, which use idle processor time, to protect the tail latency
 * of serving tasks on the same worker.
 *
 * <p>Each worker has one speed for its best-effort tasks. It is halved when the tail latency of a
 * serving task approaches its target, is set to 0 above the target, and otherwise increases in
 * small steps.
 */
final class BestEffortThrottle {
    private static final int FULL_PERCENT = 100;

    /** The initial speed beside serving tasks, before the effect on them is known. */
    static final int INITIAL_PERCENT = 20;

    /** The increase with each report while the tail latencies are well below their targets. */
    private static final int INCREASE_PERCENT = 10;

    /** The fraction of the target above which the speed is halved. */
    private static final double DECREASE_FRACTION = 0.85;

    /** The fraction of the target below which the speed increases. */
    private static final double INCREASE_FRACTION = 0.65;

    /** The time after which an unconfirmed order is repeated; calls time out after 500 ms. */
    private static final long ORDER_RETRY_MS = 600;

    private final ClusterState mState;

    BestEffortThrottle(ClusterState state) {
        mState = state;
    }

    /** Adjusts the speed of a worker's best-effort runs after a run report. */
    void onReport(Worker worker, long nowMs) {
        if (!worker.hasBestEffortRuns()) {
            worker.bestEffortSpeedPercent = INITIAL_PERCENT;
            return;
        }
        if (!worker.hasServingRuns()) {
            worker.bestEffortSpeedPercent = FULL_PERCENT;
        } else {
            worker.bestEffortSpeedPercent =
                    nextPercent(worker.bestEffortSpeedPercent, worstTailFraction(worker));
        }
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (run.phase == Phase.RUNNING && run.task.step.plan.fills()) {
                sendOrder(run, worker.bestEffortSpeedPercent, nowMs);
            }
        }
    }

    private void sendOrder(Run run, int percent, long nowMs) {
        boolean isPending =
                run.speedOrderSentAtMs > 0 && nowMs - run.speedOrderSentAtMs < ORDER_RETRY_MS;
        if (run.confirmedSpeedPercent != percent
                && !(isPending && run.orderedSpeedPercent == percent)) {
            run.orderedSpeedPercent = percent;
            run.speedOrderSentAtMs = nowMs;
            mState.sendThrottle(run, percent);
        }
    }

    private static int nextPercent(int percent, double tailFraction) {
        if (tailFraction > 1) {
            return 0;
        }
        if (tailFraction > DECREASE_FRACTION) {
            return percent / 2;
        }
        return tailFraction < INCREASE_FRACTION
                ? Math.min(FULL_PERCENT, percent + INCREASE_PERCENT)
                : percent;
    }

    /** Returns the highest ratio of tail latency to target among a worker's serving runs. */
    private static double worstTailFraction(Worker worker) {
        double worst = 0;
        for (Run run : worker.runs.values()) {
            if (run.task.step.plan.servesUsers()) {
                worst =
                        Math.max(
                                worst,
                                (double) run.reportedUsage / run.task.step.plan.tailTargetMs());
            }
        }
        return worst;
    }
}
