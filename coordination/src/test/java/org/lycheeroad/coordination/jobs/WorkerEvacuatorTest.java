package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/** Workers that drain at short notice while they have runs. */
class WorkerEvacuatorTest {
    private static final long NOTICE_MS = 4_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    /** Guards against losing the work since the last checkpoint when the worker leaves. */
    @Test
    void checkpointingTaskMovesAtTheLastMoment() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
        mFixture.submit("j1", BULK, step(1, 1, 20_000).checkpointing().build());
        JobAction run = startOnlyRun();
        startDraining(run);
        assertThat(stops(mFixture.runRound())).isEmpty();
        mFixture.nowMs += NOTICE_MS - 1_000;
        assertThat(stops(mFixture.runRound()))
                .extracting(JobAction.Stop::reason)
                .containsExactly(StopReason.WORKER_LEAVES);
        mFixture.report(
                run.worker().value(),
                List.of(),
                List.of(new EndedRun(1, run.run(), RunOutcome.STOPPED, "saved")));
        List<JobAction.Start> next = starts(mFixture.runRound());
        assertThat(next).extracting(JobAction.Start::checkpoint).containsExactly("saved");
        assertThat(workersOf(next)).doesNotContain(run.worker().value());
    }

    /** Guards against stopping a task that is expected to end before the worker leaves. */
    @Test
    void taskThatEndsBeforeTheWorkerLeavesIsNotStopped() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
        mFixture.submit("j1", BULK, step(1, 1, 3_000).build());
        JobAction run = startOnlyRun();
        startDraining(run);
        for (int i = 0; i < 40; i++) {
            assertThat(stops(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 100;
            int percent = Math.min(99, i * 100 / 30);
            mFixture.report(run.worker().value(), List.of(running(run, percent)), List.of());
        }
    }

    /**
     * Guards against wasting the time until the worker leaves on a task that cannot end by then.
     */
    @Test
    void taskThatCannotEndInTimeMovesAtOnce() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
        mFixture.submit("j1", BULK, step(1, 8, 20_000).build());
        JobAction run = startOnlyRun();
        startDraining(run);
        assertThat(stops(mFixture.runRound())).hasSize(1);
        mFixture.report(
                run.worker().value(), List.of(), List.of(ended(1, run.run(), RunOutcome.STOPPED)));
        assertThat(starts(mFixture.runRound())).hasSize(1);
    }

    /**
     * Guards against a useless stop: no other worker has capacity, and the worker may stay longer
     * than announced.
     */
    @Test
    void taskIsNotStoppedIfNoOtherWorkerHasCapacity() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("j1", BULK, step(1, 8, 20_000).build());
        JobAction run = startOnlyRun();
        startDraining(run);
        mFixture.nowMs += NOTICE_MS;
        assertThat(stops(mFixture.runRound())).isEmpty();
    }

    /** Guards against members of a gang that wait for one whose worker has left. */
    @Test
    void gangMovesAsAWhole() {
        for (int i = 0; i < 4; i++) {
            mFixture.addWorker("w" + i, "r1");
        }
        mFixture.submit("j1", BULK, step(2, 8, 20_000).gang().build());
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        startDraining(actions.get(0));
        assertThat(stops(mFixture.runRound())).hasSize(2);
    }

    private JobAction startOnlyRun() {
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        return starts(actions).get(0);
    }

    private void startDraining(JobAction run) {
        mScheduler.onWorkerEntry(
                JobSchedulerFixture.drainingEntry(run.worker().value(), "r1", NOTICE_MS),
                mFixture.nowMs);
    }
}
