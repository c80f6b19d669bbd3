package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import org.lycheeroad.coordination.jobs.Run.Phase;

/**
 * Slows tasks that fill idle processor time while they disturb tasks that serve users of their own.
 *
 * <p>Each worker has one speed for its filling tasks. It is halved when a serving task's tail comes
 * near its target, falls to nothing above the target, and rises again in small steps.
 */
final class FillThrottle {
    private static final int FULL = 100;

    /** The speed at which filling tasks begin beside serving ones, before their effect is known. */
    private static final int FIRST = 20;

    /** How much the speed rises with each report while the tails are well below their targets. */
    private static final int RISE = 10;

    /** The share of a target above which the speed is halved. */
    private static final double NEAR = 0.85;

    /** The share of a target below which the speed rises. */
    private static final double CALM = 0.65;

    /** How long an order waits for its answer before it is repeated; calls end after 500 ms. */
    private static final long REPEAT_MS = 600;

    private final Cluster mCluster;

    FillThrottle(Cluster cluster) {
        mCluster = cluster;
    }

    /** Chooses the speed of a worker's filling tasks after a report of what it runs. */
    void onReport(Worker worker, long now) {
        if (!worker.hasFilling()) {
            worker.fillPercent = FIRST;
            return;
        }
        if (!worker.hasServing()) {
            worker.fillPercent = FULL;
        } else {
            worker.fillPercent = next(worker.fillPercent, worstTail(worker));
        }
        for (Run run : new ArrayList<>(worker.runs.values())) {
            if (run.phase == Phase.RUNNING && run.task.step.plan.fills()) {
                order(run, worker.fillPercent, now);
            }
        }
    }

    private void order(Run run, int percent, long now) {
        boolean waits = run.throttleSentAt > 0 && now - run.throttleSentAt < REPEAT_MS;
        if (run.throttle != percent && !(waits && run.throttleSent == percent)) {
            run.throttleSent = percent;
            run.throttleSentAt = now;
            mCluster.sendThrottle(run, percent);
        }
    }

    private static int next(int percent, double tail) {
        if (tail > 1) {
            return 0;
        }
        if (tail > NEAR) {
            return percent / 2;
        }
        return tail < CALM ? Math.min(FULL, percent + RISE) : percent;
    }

    /** Returns the worst tail of a worker's serving tasks as a share of its target. */
    private static double worstTail(Worker worker) {
        double worst = 0;
        for (Run run : worker.runs.values()) {
            if (run.task.step.plan.servesUsers()) {
                worst = Math.max(worst, (double) run.usage / run.task.step.plan.tailTargetMs());
            }
        }
        return worst;
    }
}
