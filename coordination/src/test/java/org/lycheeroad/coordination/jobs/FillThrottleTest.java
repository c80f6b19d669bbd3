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

/** Pattern: tasks that fill idle processor time disturb tasks that serve users. */
class FillThrottleTest {
    private static final long TARGET_MS = 100;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;
    private JobAction.Start mServing;
    private JobAction.Start mFilling;

    FillThrottleTest() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("serve", BULK, step(1, 1, 1_000).serves(TARGET_MS).build());
        mFixture.submit("fill", BULK, step(1, 1, 1_000).fills().build());
        List<JobAction> actions = mFixture.round();
        mFixture.accept(actions);
        for (JobAction.Start start : starts(actions)) {
            if (start.run().task().job().equals(new JobId("fill"))) {
                mFilling = start;
            } else {
                mServing = start;
            }
        }
    }

    /** A serving task over its target stays there while the filling task works on. */
    @Test
    void fillingTaskStandsStillWhileAServingTaskIsOverItsTarget() {
        assertThat(throttlesAfterTail(130)).containsExactly(0);
    }

    /** A tail that is near its target must not pass it before the next report. */
    @Test
    void fillingTaskIsSlowedNearTheTarget() {
        assertThat(throttlesAfterTail(50)).containsExactly(30);
        assertThat(throttlesAfterTail(90)).containsExactly(15);
    }

    /** A filling task that stays slow leaves idle time unused. */
    @Test
    void fillingTaskSpeedsUpWhileAllIsCalm() {
        int speed = 0;
        for (int i = 0; i < 10; i++) {
            for (int percent : throttlesAfterTail(20)) {
                speed = percent;
            }
        }
        assertThat(speed).isEqualTo(100);
    }

    /** An order that was lost leaves the filling task at full speed. */
    @Test
    void orderWithoutAnAnswerIsRepeated() {
        assertThat(throttles(130)).hasSize(1);
        assertThat(throttles(130)).isEmpty();
        mFixture.now += 1_000;
        assertThat(throttles(130)).hasSize(1);
    }

    private List<Integer> throttlesAfterTail(long tailMs) {
        List<Integer> percents = throttles(tailMs);
        for (int percent : percents) {
            mScheduler.onThrottled(mFilling.worker(), mFilling.run(), percent);
        }
        return percents;
    }

    private List<Integer> throttles(long tailMs) {
        mFixture.report(
                "w1",
                List.of(
                        new ActiveRun(mServing.run(), "", 100, tailMs),
                        new ActiveRun(mFilling.run(), "", 10, 500)),
                List.of());
        List<Integer> percents = new ArrayList<>();
        for (JobAction action : mScheduler.takeActions()) {
            if (action instanceof JobAction.Throttle throttle) {
                assertThat(throttle.run()).isEqualTo(mFilling.run());
                percents.add(throttle.percent());
            }
        }
        return percents;
    }
}
