package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.StepPlan;

/** Placement, gangs, reservations and preemption. */
class JobPlacementTest {
    private static final JobId JOB = new JobId("j1");
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class CapacityAndConstraints {
        /** Guards against reusing the resources of a run before it has stopped. */
        @Test
        void stoppingRunKeepsItsResources() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 8, 1_000));
            mFixture.acceptStarts(mFixture.runRound());
            mScheduler.onCancel(JOB, mFixture.nowMs);
            mFixture.submit("j2", BULK, tasks(1, 8, 1_000));
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /** Guards against starting tasks on a worker that is about to leave. */
        @Test
        void drainingWorkerGetsNoTasks() {
            mFixture.addWorker("w1", "r1");
            mScheduler.onWorkerEntry(JobSchedulerFixture.entry("w1", "r1", true), mFixture.nowMs);
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /** Guards against exceeding a step's maximum number of tasks on one worker. */
        @Test
        void maxTasksPerWorkerIsKept() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            StepPlan spread =
                    new StepPlan(
                            4,
                            new Resources(100, 100, 1),
                            1_000,
                            List.of(),
                            false,
                            false,
                            "",
                            "",
                            1,
                            false,
                            false,
                            false,
                            false,
                            0,
                            0,
                            "");
            mFixture.submit("j1", BULK, spread);
            assertThat(starts(mFixture.runRound())).hasSize(2);
        }

        /** Guards against starting a step before the steps that it depends on are done. */
        @Test
        void stepWaitsForItsPredecessors() {
            mFixture.addWorker("w1", "r1");
            StepPlan second =
                    new StepPlan(
                            1,
                            new Resources(100, 100, 1),
                            1_000,
                            List.of(0),
                            false,
                            false,
                            "",
                            "",
                            0,
                            false,
                            false,
                            false,
                            false,
                            0,
                            0,
                            "");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000), second);
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            assertThat(starts(actions)).hasSize(1);
            mFixture.report(
                    "w1", List.of(), List.of(ended(1, actions.get(0).run(), RunOutcome.DONE)));
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().step())
                    .containsExactly(1);
        }
    }

    @Nested
    class Racks {
        /**
         * Guards against a gang that waits for one rack although most workers are idle (found by
         * random testing on wentmont-sched, own day, seed 453701534583).
         */
        @Test
        void gangDoesNotWaitForARackWhileMostWorkersAreIdle() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r" + i / 2);
                mFixture.addWorker("x" + i, "r" + i / 2);
            }
            for (int i = 0; i < 4; i++) {
                mScheduler.onWorkerUnresponsive(new WorkerId("x" + i));
            }
            mFixture.submit("j1", BULK, gang(3, 8, 10_000, true));
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 2_000;
            assertThat(starts(mFixture.runRound())).hasSize(3);
        }

        /** Guards against spreading single tasks over all racks, which leaves none for a gang. */
        @Test
        void singleTasksLeaveTheEmptiestRackFree() {
            for (String id : List.of("w1", "w2", "w3")) {
                mFixture.addWorker(id, "r2");
            }
            mFixture.addWorker("w4", "r1");
            mFixture.addWorker("w5", "r1");
            mFixture.submit("j1", BULK, tasks(2, 8, 1_000));
            assertThat(workersOf(starts(mFixture.runRound())))
                    .containsExactlyInAnyOrder("w4", "w5");
        }

        /**
         * Guards against starting across racks only at the latest useful time: on site fcvf, day
         * quiet-1, such a gang ended 200 ms too late.
         */
        @Test
        void lateGangStartsAcrossRacksBeforeItsLastUsefulStart() {
            for (int i = 0; i < 9; i++) {
                mFixture.addWorker("w" + i, "r" + i / 3);
            }
            for (int i = 0; i < 3; i++) {
                String rack = "r" + i;
                mFixture.submit(
                        "j" + i, BULK, StepBuilder.step(2, 8, 60_000).dataRack(rack).build());
            }
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.nowMs += 5_000;
            mFixture.submit("wide", URGENT, gang(3, 8, 1_000, true));
            mFixture.runRound();
            // A start is in time until 1.1 s, and an end is useful until 6.3 s. A run across racks
            // takes 3 s if the estimate is right.
            mFixture.nowMs += 1_200;
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 600;
            assertThat(starts(mFixture.runRound())).hasSize(3);
        }

        /** Guards against a start across racks, 3 times as long, while a rack is free soon. */
        @Test
        void gangWaitsForARackWhileTheClusterIsBusy() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r" + i / 2);
            }
            mFixture.submit("j1", BULK, tasks(1, 8, 1_000), tasks(1, 8, 1_000));
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.submit("j2", BULK, gang(2, 8, 10_000, true));
            mFixture.submit("j3", BULK, gang(2, 8, 10_000, true));
            mFixture.nowMs += 2_000;
            assertThat(starts(mFixture.runRound())).hasSize(2);
            assertThat(starts(mFixture.runRound())).isEmpty();
        }
    }

    @Nested
    class WideGangs {
        /**
         * Guards against a gang that never starts because a stream of small tasks takes each worker
         * that becomes free (found on site fcvf, day scale-2).
         */
        @Test
        void smallTasksDoNotTakeCapacityReservedForAGang() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r1");
            }
            mFixture.submit("long", BULK, tasks(4, 8, 2_000));
            List<JobAction> running = mFixture.runRound();
            mFixture.acceptStarts(running);
            mFixture.submit("wide", URGENT, gang(4, 8, 1_000, false));
            int endNumber = 1;
            List<JobAction.Start> gang = List.of();
            for (int i = 0; i < 4; i++) {
                mFixture.nowMs += 500;
                mFixture.submit("small" + i, BULK, tasks(8, 1, 1_000));
                mFixture.report(
                        running.get(i).worker().value(),
                        List.of(),
                        List.of(ended(endNumber++, running.get(i).run(), RunOutcome.DONE)));
                List<JobAction> actions = mFixture.runRound();
                mFixture.acceptStarts(actions);
                gang =
                        starts(actions).stream()
                                .filter(s -> s.run().task().job().equals(new JobId("wide")))
                                .toList();
            }
            assertThat(gang).hasSize(4);
        }
    }

    @Nested
    class Guarantees {
        /** Guards against a late start of guaranteed urgent jobs on a cluster full of bulk work. */
        @Test
        void urgentJobWithinItsGuaranteePreemptsWithinTheReclaimTime() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, tasks(2, 8, 60_000));
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.nowMs += 5_000;
            mFixture.submit("j2", URGENT, gang(2, 8, 1_000, true));
            List<JobAction.Stop> stops = List.of();
            long waitedMs = 0;
            while (stops.isEmpty() && waitedMs < JobSchedulerFixture.SETTINGS.reclaimMs()) {
                stops = stops(mFixture.runRound());
                mFixture.nowMs += 50;
                waitedMs += 50;
            }
            assertThat(stops).hasSize(2);
            assertThat(waitedMs).isLessThan(JobSchedulerFixture.SETTINGS.reclaimMs() - 1_000);
            for (JobAction.Stop stop : stops) {
                mFixture.report(
                        stop.worker().value(),
                        List.of(),
                        List.of(ended(1, stop.run(), RunOutcome.STOPPED)));
            }
            assertThat(starts(mFixture.runRound()))
                    .extracting(s -> s.run().task().job())
                    .containsOnly(new JobId("j2"));
        }

        /** Guards against urgent jobs beyond the guarantee that discard much other work. */
        @Test
        void urgentJobBeyondItsGuaranteeDoesNotPreemptLongWork() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 8, 60_000));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.nowMs += 20_000;
            mFixture.report("w1", List.of(running(actions.get(0), 33)), List.of());
            mFixture.submit("j2", URGENT, tasks(3, 8, 1_000));
            for (int i = 0; i < 60; i++) {
                assertThat(stops(mFixture.runRound())).isEmpty();
                mFixture.nowMs += 50;
            }
        }
    }
}
