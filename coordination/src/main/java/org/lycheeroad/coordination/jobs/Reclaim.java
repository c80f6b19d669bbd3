package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.coordination.jobs.Worker.Claim;
import org.lycheeroad.state.work.Resources;

/** Frees room for urgent steps within their team's guarantee by stopping less urgent runs. */
final class Reclaim {
    /** How long room is kept before the choice is made anew; stops take some 200-400 ms. */
    private static final long CLAIM_MS = 1_000;

    /** Stopping a run that saves its progress loses little beside one that does not. */
    private static final double SAVED_SHARE = 0.2;

    private final Cluster mCluster;

    Reclaim(Cluster cluster) {
        mCluster = cluster;
    }

    /** Drops claims that have not been used in time. */
    void expire(long now) {
        for (Worker worker : mCluster.workers.values()) {
            worker.claims.removeIf(c -> now - c.madeAt > CLAIM_MS || !c.step.hasWaiting());
        }
    }

    boolean hasClaims(StepRun step) {
        for (Worker worker : mCluster.workers.values()) {
            for (Claim claim : worker.claims) {
                if (claim.step == step) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Stops what is in the way of a step's waiting tasks and keeps the room for them. */
    void reclaim(StepRun step, List<Task> waiting, Collection<Worker> workers, long now) {
        List<Worker> usable = new ArrayList<>();
        for (Worker worker : workers) {
            if (worker.isUsable(now) && Placement.allows(step, worker)) {
                usable.add(worker);
            }
        }
        Set<Run> victims = new HashSet<>();
        for (int i = 0; i < waiting.size(); i++) {
            Choice best = null;
            for (Worker worker : usable) {
                Choice choice = choose(step, worker, victims);
                if (choice != null && (best == null || choice.cost < best.cost)) {
                    best = choice;
                }
            }
            if (best == null) {
                break;
            }
            victims.addAll(best.victims);
            claim(best.worker, step, now);
        }
        for (Run victim : victims) {
            mCluster.stop(victim, now);
            if (victim.task.step.plan.gang()) {
                mCluster.stopGang(victim.task.step, victim.ref.attempt(), now);
            }
        }
    }

    private record Choice(Worker worker, List<Run> victims, double cost) {}

    /** Returns what has to be stopped on a worker for one more task, or null if that is no use. */
    private static Choice choose(StepRun step, Worker worker, Set<Run> already) {
        Resources need = step.plan.reserved();
        if (Placement.fits(step, worker, need.plus(claimed(worker, step)), 1) == 0) {
            return null;
        }
        Resources room = worker.freeFor(step).minus(claimed(worker, step));
        List<Run> candidates = new ArrayList<>();
        for (Run run : worker.runs.values()) {
            if (run.phase == Phase.STOPPING || already.contains(run)) {
                room = room.plus(run.room);
            } else if (isStoppable(step, run)) {
                candidates.add(run);
            }
        }
        candidates.sort(Comparator.comparingDouble(Reclaim::loss));
        List<Run> victims = new ArrayList<>();
        double cost = 0;
        for (Run run : candidates) {
            if (need.fitsIn(room)) {
                break;
            }
            room = room.plus(run.room);
            victims.add(run);
            cost += loss(run);
        }
        return need.fitsIn(room) ? new Choice(worker, victims, cost) : null;
    }

    private static Resources claimed(Worker worker, StepRun step) {
        Resources claimed = Resources.NONE;
        for (Claim claim : worker.claims) {
            if (claim.step == step) {
                claimed = claimed.plus(claim.room());
            }
        }
        return claimed;
    }

    private static void claim(Worker worker, StepRun step, long now) {
        for (Claim claim : worker.claims) {
            if (claim.step == step) {
                claim.tasks++;
                return;
            }
        }
        Claim claim = new Claim(step, now);
        claim.tasks = 1;
        worker.claims.add(claim);
    }

    private static boolean isStoppable(StepRun step, Run run) {
        StepRun other = run.task.step;
        return other.job.queue.priority() > step.job.queue.priority()
                && other.plan.mayMiss() == 0
                && !run.task.done;
    }

    /** Returns the work that a stop throws away, in accelerator-milliseconds. */
    private static double loss(Run run) {
        StepRun step = run.task.step;
        int accelerators = Math.max(1, run.room.accelerators());
        double done = run.percent / 100.0 * Math.max(1, step.plan.estimateMs());
        double loss = accelerators * (done + 1);
        if (step.plan.gang()) {
            loss *= step.plan.count();
        }
        return step.plan.checkpointing() ? loss * SAVED_SHARE : loss;
    }
}
