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

/** Pattern: workers are taken away at short notice while they are at work. */
class EvacuationTest {
    private static final long NOTICE_MS = 4_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    /** Work since the last save is lost with the worker. */
    @Test
    void taskThatSavesItsProgressMovesAtTheLastMoment() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
        mFixture.submit("j1", BULK, step(1, 1, 20_000).checkpointing().build());
        JobAction run = startOnly();
        leave(run);
        assertThat(stops(mFixture.round())).isEmpty();
        mFixture.now += NOTICE_MS - 1_000;
        assertThat(stops(mFixture.round()))
                .extracting(JobAction.Stop::reason)
                .containsExactly(StopReason.WORKER_LEAVES);
        mFixture.report(
                run.worker().value(),
                List.of(),
                List.of(new EndedRun(1, run.run(), RunOutcome.STOPPED, "saved")));
        List<JobAction.Start> next = starts(mFixture.round());
        assertThat(next).extracting(JobAction.Start::checkpoint).containsExactly("saved");
        assertThat(workersOf(next)).doesNotContain(run.worker().value());
    }

    /** A task that ends in time must not be thrown away. */
    @Test
    void taskThatEndsBeforeTheWorkerLeavesGoesOn() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
        mFixture.submit("j1", BULK, step(1, 1, 3_000).build());
        JobAction run = startOnly();
        leave(run);
        for (int i = 0; i < 40; i++) {
            assertThat(stops(mFixture.round())).isEmpty();
            mFixture.now += 100;
            mFixture.report(run.worker().value(), List.of(running(run, 2 * i)), List.of());
        }
    }

    /** A task that cannot end in time only wastes the seconds until its worker leaves. */
    @Test
    void taskThatCannotEndInTimeStartsElsewhereAtOnce() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
        mFixture.submit("j1", BULK, step(1, 8, 20_000).build());
        JobAction run = startOnly();
        leave(run);
        assertThat(stops(mFixture.round())).hasSize(1);
        mFixture.report(
                run.worker().value(), List.of(), List.of(ended(1, run.run(), RunOutcome.STOPPED)));
        assertThat(starts(mFixture.round())).hasSize(1);
    }

    /** Without another place a stop gains nothing, and the worker may stay longer than it says. */
    @Test
    void taskWithoutAnotherPlaceGoesOn() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("j1", BULK, step(1, 8, 20_000).build());
        JobAction run = startOnly();
        leave(run);
        mFixture.now += NOTICE_MS;
        assertThat(stops(mFixture.round())).isEmpty();
    }

    /** The members that stay behind would wait for the one that has left. */
    @Test
    void gangMovesAsAWhole() {
        for (int i = 0; i < 4; i++) {
            mFixture.addWorker("w" + i, "r1");
        }
        mFixture.submit("j1", BULK, step(2, 8, 20_000).gang().build());
        List<JobAction> actions = mFixture.round();
        mFixture.accept(actions);
        leave(actions.get(0));
        assertThat(stops(mFixture.round())).hasSize(2);
    }

    private JobAction startOnly() {
        List<JobAction> actions = mFixture.round();
        mFixture.accept(actions);
        return starts(actions).get(0);
    }

    private void leave(JobAction run) {
        mScheduler.onWorker(
                JobSchedulerFixture.leaving(run.worker().value(), "r1", NOTICE_MS), mFixture.now);
    }
}
