package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BORN;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
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

/** Pattern: workers crash and start again under the same id while orders are on their way. */
class IncarnationTest {
    private static final long REBORN = BORN + 5_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    IncarnationTest() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
    }

    /** The new incarnation took the start before its entry arrived; a second run would overlap. */
    @Test
    void runOnAnIncarnationThatWasNotYetKnownGoesOn() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.now);
        mFixture.addWorker("w2", "r1");
        mFixture.reborn("w1", "r1", REBORN);
        assertThat(starts(mFixture.round())).isEmpty();
        mFixture.report("w1", REBORN, List.of(running(start, 10)), List.of());
        assertThat(mFixture.round()).isEmpty();
    }

    /** The same, but the run has ended when the new incarnation is first asked. */
    @Test
    void endOnAnIncarnationThatWasNotYetKnownCounts() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.now);
        mFixture.report("w1", REBORN, List.of(), List.of(ended(1, start.run(), RunOutcome.DONE)));
        mFixture.saveAll();
        assertThat(mScheduler.stateOf(new JobId("j1"))).contains(WorkState.COMPLETED);
    }

    /** What ran before the crash is gone and must run again. */
    @Test
    void runOfTheOldIncarnationStartsAgain() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.now);
        mFixture.reborn("w1", "r1", REBORN);
        mFixture.report("w1", REBORN, List.of(), List.of());
        assertThat(starts(mFixture.round())).hasSize(1);
    }

    /** A start without an answer may reach the new incarnation, which knows of no earlier stop. */
    @Test
    void unansweredStartIsBarredOnTheNewIncarnation() {
        JobAction.Start start = start();
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.now);
        mScheduler.takeActions();
        mFixture.addWorker("w2", "r1");
        mFixture.report("w1", REBORN, List.of(), List.of());
        List<JobAction> actions = mFixture.round();
        assertThat(stops(actions)).hasSize(1);
        assertThat(starts(actions)).isEmpty();
        mScheduler.onStopAnswer(start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.now);
        mFixture.now += 10;
        mFixture.report("w1", REBORN, List.of(), List.of());
        assertThat(starts(mFixture.round())).hasSize(1);
    }

    /** The record may name the old incarnation of a run that the new one has. */
    @Test
    void newOwnerLooksForARunWhoseRecordNamesTheOldIncarnation() {
        JobSchedulerFixture next = new JobSchedulerFixture();
        next.reborn("w1", "r1", REBORN);
        next.addWorker("w2", "r1");
        TaskProgress row = new TaskProgress(0, 0, 0, 5, 0, false, new WorkerId("w1"), BORN, "");
        next.submit(
                "j1",
                BULK,
                new ProgressRecord(WorkState.ACTIVE, List.of(row)),
                step(1, 1, 1_000).build());
        assertThat(starts(next.round())).isEmpty();
        next.report("w1", REBORN, List.of(), List.of());
        assertThat(starts(next.round())).hasSize(1);
    }

    private JobAction.Start start() {
        return starts(mFixture.round()).get(0);
    }
}
