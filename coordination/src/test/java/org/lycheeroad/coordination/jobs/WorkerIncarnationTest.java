package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.INCARNATION;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.WorkState;

/** Workers that crash and restart under the same id while orders are in transit. */
class WorkerIncarnationTest {
    private static final long RESTARTED_INCARNATION = INCARNATION + 5_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    WorkerIncarnationTest() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
    }

    /**
     * Guards against a second, concurrent run when the new incarnation accepted the start before
     * its directory entry arrived.
     */
    @Test
    void runOnAnUnknownIncarnationIsAdopted() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.addWorker("w2", "r1");
        mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
        assertThat(starts(mFixture.runRound())).isEmpty();
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(running(start, 10)), List.of());
        assertThat(mFixture.runRound()).isEmpty();
    }

    /** As above, but the run has ended before the new incarnation's first report. */
    @Test
    void endOnAnUnknownIncarnationCounts() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.report(
                "w1",
                RESTARTED_INCARNATION,
                List.of(),
                List.of(ended(1, start.run(), RunOutcome.DONE)));
        mFixture.saveAll();
        assertThat(mScheduler.stateOf(new JobId("j1"))).contains(WorkState.COMPLETED);
    }

    /** Guards against waiting for a run that was lost in the crash. */
    @Test
    void runOfTheOldIncarnationIsRestarted() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.restartWorker("w1", "r1", RESTARTED_INCARNATION);
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        assertThat(starts(mFixture.runRound())).hasSize(1);
    }

    /**
     * Guards against a late start on the new incarnation: it may receive the unanswered order, and
     * it does not know of stops that were sent to the old one.
     */
    @Test
    void unansweredStartIsStoppedOnTheNewIncarnation() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.nowMs);
        mScheduler.takeActions();
        mFixture.addWorker("w2", "r1");
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        List<JobAction> actions = mFixture.runRound();
        assertThat(stops(actions)).hasSize(1);
        assertThat(starts(actions)).isEmpty();
        mScheduler.onStopAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
        mFixture.nowMs += 10;
        mFixture.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        assertThat(starts(mFixture.runRound())).hasSize(1);
    }

    /**
     * Guards against a second run when the saved record names the old incarnation of the worker.
     */
    @Test
    void newOwnerWaitsForTheReportIfARecordNamesTheOldIncarnation() {
        JobSchedulerFixture next = new JobSchedulerFixture();
        next.restartWorker("w1", "r1", RESTARTED_INCARNATION);
        next.addWorker("w2", "r1");
        TaskProgress savedTask =
                new TaskProgress(0, 0, 0, 5, 0, 0, false, new WorkerId("w1"), INCARNATION, "");
        next.submit(
                "j1",
                BULK,
                new ProgressRecord(WorkState.ACTIVE, List.of(savedTask)),
                step(1, 1, 1_000).build());
        assertThat(starts(next.runRound())).isEmpty();
        next.report("w1", RESTARTED_INCARNATION, List.of(), List.of());
        assertThat(starts(next.runRound())).hasSize(1);
    }

    private JobAction.Start start() {
        return starts(mFixture.runRound()).get(0);
    }
}
