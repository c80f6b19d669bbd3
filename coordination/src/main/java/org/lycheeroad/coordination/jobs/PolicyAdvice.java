package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.WorkerId;

/**
 * Asks placement policies about steps that wait, best rank first.
 *
 * <p>A policy answers one question of a VM at a time and takes time for each worker named, so few
 * questions are under way and each names only workers that have room now.
 */
final class PolicyAdvice {
    /** The policy works on one; the next waits there, so that no round trip is lost. */
    private static final int MOST_QUESTIONS = 2;

    /** How many workers one question names at most; the users' objectives allow for 30. */
    private static final int MOST_WORKERS = 30;

    /** How long a step waits after a question that was refused or not answered. */
    private static final long RETRY_MS = 300;

    private final ClusterState mCluster;
    private List<AdviceQuestion> mQuestions = new ArrayList<>();
    private int mUnderWay;

    PolicyAdvice(ClusterState cluster) {
        mCluster = cluster;
    }

    /** Returns the questions since the last call. */
    List<AdviceQuestion> takeQuestions() {
        List<AdviceQuestion> questions = mQuestions;
        mQuestions = new ArrayList<>();
        return questions;
    }

    /** Asks about the workers that some waiting tasks of a step could use. */
    void ask(StepInstance step, int waiting, long now) {
        if (step.job.queue.advice() == null
                || step.permits.asking
                || now < step.permits.askAgainAt
                || mUnderWay >= MOST_QUESTIONS) {
            return;
        }
        List<WorkerId> workers = candidates(step, waiting, now);
        if (!workers.isEmpty()) {
            step.permits.asking = true;
            mUnderWay++;
            mQuestions.add(new AdviceQuestion(step.job.id, step.occurrence, step.index, workers));
        }
    }

    /** Applies an answer; {@code tickets} is null if there was none. */
    void onAnswer(AdviceQuestion question, Map<WorkerId, String> tickets, long validMs, long now) {
        mUnderWay--;
        Job job = mCluster.activeJobs.get(question.job());
        if (job == null || !job.occurrences.containsKey(question.occurrence())) {
            return;
        }
        Permits permits = job.occurrences.get(question.occurrence()).get(question.step()).permits;
        permits.asking = false;
        if (tickets == null) {
            permits.askAgainAt = now + RETRY_MS;
            return;
        }
        List<Worker> asked = new ArrayList<>();
        for (WorkerId id : question.workers()) {
            Worker worker = mCluster.workers.get(id);
            if (worker != null) {
                asked.add(worker);
            }
        }
        permits.onAnswer(asked, tickets, validMs, now);
    }

    /** Returns workers with room: known ones while they suffice, then whole racks of others. */
    private List<WorkerId> candidates(StepInstance step, int waiting, long now) {
        Map<Worker, Integer> room = new HashMap<>();
        Map<RackId, Integer> racks = new HashMap<>();
        int known = 0;
        for (Worker worker : mCluster.workers.values()) {
            if (worker.isSchedulable(now)
                    && Placement.allows(step, worker)
                    && !step.permits.isValid(worker, now)) {
                int fits = Placement.fits(step, worker, worker.resourcesFreeFor(step), waiting);
                if (fits > 0) {
                    room.put(worker, fits);
                    racks.merge(worker.entry.rack(), fits, Integer::sum);
                    known += step.permits.isAllowed(worker) ? fits : 0;
                }
            }
        }
        List<Worker> ordered = new ArrayList<>(room.keySet());
        if (known >= waiting) {
            ordered.removeIf(worker -> !step.permits.isAllowed(worker));
        }
        RackId near = new RackId(step.plan.dataRack().isEmpty() ? "-" : step.plan.dataRack());
        Comparator<Worker> order = Comparator.comparing(w -> !near.equals(w.entry.rack()));
        if (step.plan.rackLocal()) {
            order = order.thenComparing(w -> -racks.get(w.entry.rack()));
            order = order.thenComparing(w -> w.entry.rack().value());
        }
        ordered.sort(order.thenComparing(w -> !step.permits.isAllowed(w)).thenComparing(w -> w.id));
        return ordered.stream().limit(MOST_WORKERS).map(w -> w.id).toList();
    }
}
