package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.work.WorkerStatus;

/** A rollout replaces the workers one after the other by ones with a newer software version. */
class RolloutTest {
    private static final long ROLLOUT_END_MS = 30_001;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();

    @BeforeEach
    void addWorkers() {
        for (int i = 0; i < 4; i++) {
            addWorker("old" + i, 1_000, "v1");
        }
        addWorker("new0", 2_000, "v2");
        addWorker("new1", 2_001, "v2");
    }

    private void addWorker(String id, long incarnation, String version) {
        WorkerStatus entry = JobSchedulerFixture.entry(id, "r1", false);
        mFixture.scheduler.onWorkerEntry(
                new WorkerStatus(
                        entry.id(),
                        incarnation,
                        entry.address(),
                        entry.service(),
                        false,
                        0,
                        entry.capacity(),
                        entry.labels(),
                        entry.rack(),
                        version,
                        entry.failureDomain()),
                mFixture.nowMs);
        mFixture.report(id, incarnation, List.of(), List.of());
    }

    private Set<String> startedOn() {
        return workersOf(starts(mFixture.runRound()));
    }

    /**
     * Guards against a gang that loses its work again and again, each time a worker is replaced.
     */
    @Test
    void gangPrefersWorkersThatWereReplacedBefore() {
        mFixture.submit("j1", BULK, gang(2, 8, 10_000, false));
        assertThat(startedOn()).containsExactlyInAnyOrder("new0", "new1");
    }

    /** Guards against a gang that waits although the other workers have free capacity. */
    @Test
    void gangUsesOtherWorkersIfItDoesNotFitWithoutThem() {
        mFixture.submit("j1", BULK, gang(3, 8, 10_000, false));
        assertThat(startedOn()).hasSize(3);
    }

    /** Guards against short tasks that take the places of long ones. */
    @Test
    void shortTasksUseAnyWorker() {
        mFixture.submit("j1", BULK, tasks(6, 8, 1_000));
        assertThat(startedOn()).hasSize(6);
    }

    /**
     * Guards against a preference that outlasts the rollout, if some workers keep their version.
     */
    @Test
    void versionsDoNotMatterLongAfterTheLastReplacement() {
        mFixture.nowMs += ROLLOUT_END_MS;
        mFixture.submit("j1", BULK, gang(4, 8, 10_000, false));
        mFixture.submit("j2", BULK, gang(2, 8, 10_000, false));
        assertThat(startedOn()).hasSize(6);
    }
}
