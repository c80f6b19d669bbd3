package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import org.lycheeroad.coordination.jobs.Run.Phase;

/**
 * Slows tasks that fill idle processor time while they disturb tasks that serve users of their own.
 *
 * <p>Each worker has one speed for its filling tasks. It is halved when a serving task's tail comes
 * near its target, falls to nothing above the target, and rises again in small steps.
 */
final class BestEffortThrottle {
    private static final int FULL_PERCENT = 100;

    /** The speed at which filling tasks begin beside serving ones, before their effect is known. */
    private static final int INITIAL_PERCENT = 20;

    /** How much the speed rises with each report while the tails are well below their targets. */
    private static final int INCREASE_PERCENT = 10;

    /** The share of a target above which the speed is halved. */
    private static final double DECREASE_FRACTION = 0.85;

    /** The share of a target below which the speed rises. */
    private static final double INCREASE_FRACTION = 0.65;

    /** How long an order waits for its answer before it is repeated; calls end after 500 ms. */
    private static final long ORDER_RETRY_MS = 600;

    private final ClusterState mState;

    BestEffortThrottle(ClusterState cluster) {
        mState = cluster;
    }

    /** Chooses the speed of a worker's filling tasks after a report of what it runs. */
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
        boolean waits = run.speedOrderSentAtMs > 0 && nowMs - run.speedOrderSentAtMs < ORDER_RETRY_MS;
        if (run.confirmedSpeedPercent != percent
                && !(waits && run.orderedSpeedPercent == percent)) {
            run.orderedSpeedPercent = percent;
            run.speedOrderSentAtMs = nowMs;
            mState.sendThrottle(run, percent);
        }
    }

    private static int nextPercent(int percent, double tail) {
        if (tail > 1) {
            return 0;
        }
        if (tail > DECREASE_FRACTION) {
            return percent / 2;
        }
        return tail < INCREASE_FRACTION
                ? Math.min(FULL_PERCENT, percent + INCREASE_PERCENT)
                : percent;
    }

    /** Returns the worst tail of a worker's serving tasks as a share of its target. */
    private static double worstTailFraction(Worker worker) {
        double worst = 0;
        for (Run run : worker.runs.values()) {
            if (run.task.step.plan.serves()) {
                worst =
                        Math.max(
                                worst,
                                (double) run.reportedUsage / run.task.step.plan.tailTargetMs());
            }
        }
        return worst;
    }
}
