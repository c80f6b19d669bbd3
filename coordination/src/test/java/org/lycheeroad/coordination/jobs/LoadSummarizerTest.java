package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.OTHER_TEAM;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;

import org.junit.jupiter.api.Test;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.ServiceLoad.CommittedWork;
import org.lycheeroad.state.work.ServiceLoad.TeamLoad;

/** Guards against summaries that show more load than there is, which would refuse jobs. */
class LoadSummarizerTest {
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();

    @Test
    void workIsGivenAsTheTimeThatItTakesAllWorkers() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
        mFixture.submit("0000000000000001", BULK, tasks(32, 1, 4_000));
        mFixture.submit("0000000000000002", URGENT, OTHER_TEAM, 0, tasks(4, 1, 1_000));
        mFixture.runRound();
        ServiceLoad load = summary();
        assertThat(load.room()).isEqualTo(new Resources(32_000, 64_000, 16));
        assertThat(load.work()).extracting(CommittedWork::priority).containsExactly(0, 1);
        assertThat(load.work())
                .extracting(CommittedWork::acceleratorMs)
                .containsExactly(250L, 8_000L);
        // Three times an objective of 13.5 s, rounded up.
        assertThat(load.work().get(1).endsInMs()).isBetween(40_500L, 50_625L);
        for (TeamLoad team : load.teams()) {
            boolean isOther = team.team().equals(OTHER_TEAM);
            assertThat(team.usedShare()).isCloseTo(isOther ? 0.25 : 0.75, within(0.001));
            assertThat(team.urgentAccelerators()).isEqualTo(isOther ? 4 : 0);
        }
        assertThat(load.freeShapes()).allMatch(free -> free.accelerators() == 0);
    }

    @Test
    void workThatIsDoneOrTooLateDoesNotCount() {
        mFixture.addWorker("w1", "r1");
        mFixture.submit("0000000000000001", URGENT, tasks(16, 1, 1_000));
        mFixture.runRound();
        assertThat(summary().work()).hasSize(1);
        mFixture.nowMs += 5_500;
        assertThat(summary().work()).isEmpty();
    }

    /** Workers that a new owner has not polled yet must not be missing from the room. */
    @Test
    void workersThatHaveNotReportedCountAsRoom() {
        mFixture.addWorkerEntry("w1", "r1");
        assertThat(summary().freeShapes()).containsExactly(new Resources(16_000, 32_000, 8));
    }

    private ServiceLoad summary() {
        return mFixture.scheduler.summarizeLoad(mFixture.nowMs, mFixture.nowMs).get(0);
    }
}
