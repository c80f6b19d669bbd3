package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.coordination.jobs.Run.Phase;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.WorkState;

/** The scheduler's state and the elementary changes to it. */
final class Cluster {
    public final Map<WorkerId, Worker> workers = new LinkedHashMap<>();
    public final Map<JobId, Job> active = new LinkedHashMap<>();
    public final Map<JobId, Job> ended = new LinkedHashMap<>();
    public final Set<Job> dirty = new LinkedHashSet<>();
    public final DurationEstimates durations;
    public ClusterConfig config = new ClusterConfig(0, List.of(), List.of());
    private List<JobAction> mActions = new ArrayList<>();

    Cluster(DurationEstimates durations) {
        this.durations = durations;
    }

    Job job(JobId id) {
        Job job = active.get(id);
        return job == null ? ended.get(id) : job;
    }

    Worker worker(WorkerId id) {
        return workers.computeIfAbsent(id, Worker::new);
    }

    /** Returns the orders since the last call. */
    List<JobAction> takeActions() {
        List<JobAction> actions = mActions;
        mActions = new ArrayList<>();
        return actions;
    }

    /** Returns how long a run still takes at least, by what is known of its queue. */
    long remainingMs(Run run, long now) {
        StepRun step = run.task.step;
        long expected = durations.expectedMs(step.job.record.queue(), step.plan);
        long ran = run.workingSince > 0 ? now - run.workingSince : 0;
        long done = Math.max(ran, step.plan.estimateMs() * run.percent / 100);
        return Math.max(0, expected - done);
    }

    void touch(Job job) {
        job.touch();
        dirty.add(job);
    }

    /** Creates a run that starts once its record is saved. */
    Run assign(Task task, Worker worker, int attempt) {
        Run run = new Run(new RunRef(task.ref, attempt), task, worker, Phase.RECORDING);
        run.ticket = task.step.permits.ticketFor(worker);
        task.attempt = attempt;
        task.run = run;
        worker.add(run);
        return run;
    }

    void sendStart(Run run, long now) {
        Task task = run.task;
        mActions.add(
                new JobAction.Start(
                        run.worker.id,
                        run.bornMs,
                        run.ref,
                        task.step.job.record.plan().spec(),
                        task.step.checkpointFor(task),
                        run.ticket));
        run.lastSentAt = now;
        if (run.phase == Phase.RECORDING) {
            run.phase = Phase.STARTING;
            run.sentAt = now;
        }
    }

    /** Stops a run; one whose start was never sent is over at once. */
    void stop(Run run, StopReason reason, long now) {
        if (run.phase == Phase.RECORDING) {
            release(run);
            return;
        }
        if (run.phase != Phase.STOPPING) {
            run.phase = Phase.STOPPING;
            run.confirmedAt = Long.MAX_VALUE;
            run.stopReason = reason;
            sendStop(run, now);
        }
    }

    void sendStop(Run run, long now) {
        run.stopSentAt = now;
        mActions.add(new JobAction.Stop(run.worker.id, run.bornMs, run.ref, run.stopReason));
    }

    void sendThrottle(Run run, int percent) {
        mActions.add(new JobAction.Throttle(run.worker.id, run.bornMs, run.ref, percent));
    }

    void stopStranger(Worker worker, RunRef run) {
        mActions.add(new JobAction.Stop(worker.id, worker.bornMs, run, StopReason.NOT_RECORDED));
    }

    /** Forgets a run that is certainly over; its task waits again unless it is done. */
    void release(Run run) {
        run.worker.remove(run);
        if (run.isCurrent()) {
            run.task.run = null;
        }
        if (active.containsKey(run.task.ref.job())) {
            touch(run.task.step.job);
        }
    }

    /** Stops what a gang has running of one attempt, because it is no longer whole. */
    void stopGang(StepRun step, int attempt, long now) {
        for (Task member : step.tasks) {
            if (member.run != null && member.run.ref.attempt() == attempt) {
                stop(member.run, StopReason.GANG_BROKEN, now);
            }
        }
    }

    /** Ends a job and stops what it has running. */
    void end(Job job, WorkState state, long now) {
        job.state = state;
        job.endedAt = now;
        touch(job);
        active.remove(job.id);
        ended.put(job.id, job);
        for (List<StepRun> steps : job.occurrences.values()) {
            for (StepRun step : steps) {
                for (Task task : step.tasks) {
                    if (task.run != null && !task.done) {
                        stop(task.run, StopReason.JOB_ENDED, now);
                    }
                }
                dropClaims(step);
            }
        }
    }

    void dropClaims(StepRun step) {
        for (Worker worker : workers.values()) {
            worker.claims.removeIf(claim -> claim.step == step);
        }
    }
}
