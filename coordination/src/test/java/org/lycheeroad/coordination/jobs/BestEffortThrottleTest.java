package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;

/** Best-effort tasks that raise the tail latency of a serving task on the same worker. */
class BestEffortThrottleTest {
    private static final long TARGET_MS = 100;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;
    private JobAction.Start mServingStart;
    private JobAction.Start mBestEffortStart;

    BestEffortThrottleTest() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("serve", BULK, step(1, 1, 1_000).serves(TARGET_MS).build());
        mFixture.submit("fill", BULK, step(1, 1, 1_000).fills().build());
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        for (JobAction.Start start : starts(actions)) {
            if (start.run().task().job().equals(new JobId("fill"))) {
                mBestEffortStart = start;
            } else {
                mServingStart = start;
            }
        }
    }

    /** Guards against a serving task that stays over its target while the other keeps running. */
    @Test
    void bestEffortTaskIsPausedWhileAServingTaskExceedsItsTarget() {
        assertThat(reportTailAndConfirm(130)).containsExactly(0);
    }

    /** Guards against a tail latency that passes its target before the next report. */
    @Test
    void bestEffortTaskIsSlowedNearTheTarget() {
        assertThat(reportTailAndConfirm(50)).containsExactly(30);
        assertThat(reportTailAndConfirm(90)).containsExactly(15);
    }

    /** Guards against a best-effort task that stays slow and leaves processor time unused. */
    @Test
    void bestEffortTaskSpeedsUpWhileTailsAreLow() {
        int speedPercent = 0;
        for (int i = 0; i < 10; i++) {
            for (int percent : reportTailAndConfirm(20)) {
                speedPercent = percent;
            }
        }
        assertThat(speedPercent).isEqualTo(100);
    }

    /** Guards against a lost order that would leave the best-effort task at full speed. */
    @Test
    void unansweredOrderIsRepeated() {
        assertThat(reportTail(130)).hasSize(1);
        assertThat(reportTail(130)).isEmpty();
        mFixture.nowMs += 1_000;
        assertThat(reportTail(130)).hasSize(1);
    }

    private List<Integer> reportTailAndConfirm(long tailMs) {
        List<Integer> percents = reportTail(tailMs);
        for (int percent : percents) {
            mScheduler.onThrottleConfirmed(
                    mBestEffortStart.worker(), mBestEffortStart.run(), percent);
        }
        return percents;
    }

    private List<Integer> reportTail(long tailMs) {
        mFixture.report(
                "w1",
                List.of(
                        new ActiveRun(mServingStart.run(), "", 100, tailMs),
                        new ActiveRun(mBestEffortStart.run(), "", 10, 500)),
                List.of());
        List<Integer> percents = new ArrayList<>();
        for (JobAction action : mScheduler.takeActions()) {
            if (action instanceof JobAction.Throttle throttle) {
                assertThat(throttle.run()).isEqualTo(mBestEffortStart.run());
                percents.add(throttle.percent());
            }
        }
        return percents;
    }
}
