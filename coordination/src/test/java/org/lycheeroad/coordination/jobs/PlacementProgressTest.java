package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.WorkerId;

/** Steps start within 3 s beside workers with room for them. */
class PlacementProgressTest {
    private static final long BOUND_MS = 3_000;
    private static final long LONG_MS = 60_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class RackOfTheData {
        /** Guards against a lasting task that waits for its full rack as long as its estimate. */
        @Test
        void lastingTaskStartsElsewhereOnABusyService() {
            fill("w0", "r1", true);
            fill("w1", "r2", true);
            mFixture.addWorker("w2", "r2");
            mFixture.submit("j1", BULK, step(1, 8, LONG_MS).dataRack("r1").longRunning().build());
            assertThat(workersOf(mFixture.startsWithin(BOUND_MS))).containsExactly("w2");
        }

        /** Guards against a wait for the rack because the few workers with a label are busy. */
        @Test
        void stepThatMayUseFewWorkersStartsElsewhereOnAnIdleService() {
            for (int i = 0; i < 5; i++) {
                mFixture.addWorkerWithLabel("w" + i, i == 0 ? "r1" : "r2", "big");
                mFixture.addWorker("x" + i, "r3");
            }
            mFixture.submit("on", BULK, step(3, 8, LONG_MS).label("big").build());
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.submitWithoutGuarantee(
                    "j1", step(1, 8, LONG_MS).label("big").dataRack("r1").build());
            assertThat(mFixture.startsWithin(BOUND_MS)).hasSize(1);
        }

        /** Guards against a wait for resources that lasting tasks hold. */
        @Test
        void stepDoesNotWaitForARackFullOfLastingTasks() {
            fill("w0", "r1", true);
            fill("w1", "r2", false);
            mFixture.addWorker("w2", "r2");
            mFixture.submitWithoutGuarantee("j1", step(1, 8, LONG_MS).dataRack("r1").build());
            assertThat(workersOf(mFixture.startsWithin(BOUND_MS))).containsExactly("w2");
        }

        /** Guards against a wait for workers that do not answer. */
        @Test
        void stepDoesNotWaitForARackThatCannotBeUsed() {
            fill("w1", "r2", false);
            fill("w2", "r2", false);
            fill("w4", "r2", false);
            mFixture.addWorker("w0", "r1");
            mFixture.addWorker("w3", "r2");
            mScheduler.onWorkerUnresponsive(new WorkerId("w0"));
            mFixture.submitWithoutGuarantee("j1", step(1, 8, LONG_MS).dataRack("r1").build());
            assertThat(workersOf(mFixture.startsWithin(BOUND_MS))).containsExactly("w3");
        }

        /** Guards against starts away from the data, 3 times as long, on a busy service. */
        @Test
        void stepWaitsForItsRackOnABusyService() {
            fill("w0", "r1", false);
            fill("w1", "r2", false);
            mFixture.addWorker("w2", "r2");
            mFixture.submitWithoutGuarantee("j1", step(1, 8, LONG_MS).dataRack("r1").build());
            assertThat(mFixture.startsWithin(BOUND_MS)).isEmpty();
        }
    }

    @Nested
    class Reservations {
        /** Guards against a gang that keeps free the few workers that it and others may use. */
        @Test
        void reservationDoesNotHoldUpOthersOnAnIdleService() {
            for (int i = 0; i < 5; i++) {
                mFixture.addWorkerWithLabel("w" + i, "r1", "big");
                mFixture.addWorker("x" + i, "r2");
            }
            mFixture.submit("on", BULK, step(2, 8, LONG_MS).label("big").build());
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.submitWithoutGuarantee(
                    "wide", step(4, 8, LONG_MS).gang().label("big").build());
            assertThat(mFixture.startsWithin(500)).isEmpty();
            mFixture.submit("small", BULK, step(1, 8, LONG_MS).label("big").build());
            assertThat(mFixture.startsWithin(BOUND_MS)).hasSize(1);
        }
    }

    /** Adds a worker and fills it with a task. */
    private void fill(String worker, String rack, boolean lasting) {
        mFixture.addWorker(worker, rack);
        StepBuilder task = step(1, 8, LONG_MS).dataRack(rack);
        mFixture.submit("on-" + worker, BULK, (lasting ? task.longRunning() : task).build());
        mFixture.acceptStarts(mFixture.runRound());
    }
}
