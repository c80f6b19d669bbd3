package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.overload.Verdict;
import org.lycheeroad.state.work.RunOutcome;

/** The order of steps that wait for one worker, which is busy for 3 s more. */
class OverloadTriageTest {
    private static final int ACCELERATORS = 8;

    private final JobSchedulerFixture mFixture = JobSchedulerFixture.withOverloadTriage();

    private JobAction mBusyRun;

    @BeforeEach
    void occupyTheWorker() {
        mFixture.addWorker("w", "r1");
        mFixture.submit("busy", BULK, tasks(1, ACCELERATORS, 10_000));
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        mBusyRun = starts(actions).get(0);
        // In time until 19.5 s after its submission.
        mFixture.submit("large", BULK, tasks(1, ACCELERATORS, 6_000));
        for (int second = 1; second <= 7; second++) {
            mFixture.nowMs += 1_000;
            mFixture.report("w", List.of(running(mBusyRun, second * 10)), List.of());
        }
    }

    private List<String> nextStarts() {
        mFixture.report("w", List.of(), List.of(ended(1, mBusyRun.run(), RunOutcome.DONE)));
        return starts(mFixture.runRound()).stream().map(s -> s.run().task().job().value()).toList();
    }

    @Nested
    class TooLittleRoom {
        @BeforeEach
        void waitForTheLargeJobsLastChance() {
            mFixture.nowMs += 2_500;
            // In time until 7.5 s after its submission; there is room for one of the two.
            mFixture.submit("small", BULK, tasks(1, ACCELERATORS, 2_000));
            mFixture.nowMs += 500;
            mFixture.report("w", List.of(running(mBusyRun, 99)), List.of());
            mFixture.runRound();
        }

        /** By its latest start alone, the large job would go first, and the small one end late. */
        @Test
        void jobThatNeedsLessRoomForWhatItIsWorthGoesFirst() {
            assertThat(nextStarts()).containsExactly("small");
        }

        /** Guards against a job that is late without an operator seeing why. */
        @Test
        void jobThatGivesWayIsReportedOnce() {
            assertThat(mFixture.scheduler.takeGivenWay())
                    .extracting(g -> g.job().value(), GivenWay::verdict)
                    .containsExactly(tuple("large", Verdict.LATE));
            mFixture.runRound();
            assertThat(mFixture.scheduler.takeGivenWay()).isEmpty();
        }

        /** Nothing that gives way is lost. */
        @Test
        void jobThatGivesWayRunsAfterwards() {
            mFixture.report("w", List.of(), List.of(ended(1, mBusyRun.run(), RunOutcome.DONE)));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.nowMs += 2_000;
            mFixture.report(
                    "w",
                    List.of(),
                    List.of(ended(2, starts(actions).get(0).run(), RunOutcome.DONE)));
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().job().value())
                    .containsExactly("large");
        }
    }

    @Nested
    class EnoughRoom {
        @Test
        void latestStartDecides() {
            mFixture.nowMs += 2_500;
            mFixture.report("w", List.of(running(mBusyRun, 95)), List.of());
            mFixture.submit("short", BULK, tasks(1, ACCELERATORS, 500));
            mFixture.runRound();
            assertThat(mFixture.scheduler.takeGivenWay()).isEmpty();
            assertThat(nextStarts()).containsExactly("short");
        }
    }
}
