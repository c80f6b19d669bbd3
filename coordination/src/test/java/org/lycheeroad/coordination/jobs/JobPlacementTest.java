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

/** Where tasks run and for whom room is made; each test names the failure it guards against. */
class JobPlacementTest {
    private static final JobId JOB = new JobId("j1");
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class Places {
        /** What is being stopped still takes room. */
        @Test
        void stoppingRunKeepsItsRoom() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 8, 1_000));
            mFixture.accept(mFixture.round());
            mScheduler.onCancel(JOB, mFixture.now);
            mFixture.submit("j2", BULK, tasks(1, 8, 1_000));
            assertThat(starts(mFixture.round())).isEmpty();
        }

        /** A worker that leaves gets nothing new. */
        @Test
        void drainingWorkerGetsNothing() {
            mFixture.addWorker("w1", "r1");
            mScheduler.onWorker(JobSchedulerFixture.entry("w1", "r1", true), mFixture.now);
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            assertThat(starts(mFixture.round())).isEmpty();
        }

        /** At most so many tasks of a step may share a worker. */
        @Test
        void spreadTasksKeepTheirBound() {
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
            assertThat(starts(mFixture.round())).hasSize(2);
        }

        /** A step must not begin before the tasks of the steps that it waits for. */
        @Test
        void laterStepWaits() {
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
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            assertThat(starts(actions)).hasSize(1);
            mFixture.report(
                    "w1", List.of(), List.of(ended(1, actions.get(0).run(), RunOutcome.DONE)));
            assertThat(starts(mFixture.round()))
                    .extracting(s -> s.run().task().step())
                    .containsExactly(1);
        }
    }

    @Nested
    class Racks {
        /** Hunt on wentmont-sched, own day, seed 453701534583: a gang waited beside idle racks. */
        @Test
        void gangDoesNotWaitForARackWhileMostWorkersAreIdle() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r" + i / 2);
                mFixture.addWorker("x" + i, "r" + i / 2);
            }
            for (int i = 0; i < 4; i++) {
                mScheduler.onWorkerSilent(new WorkerId("x" + i));
            }
            mFixture.submit("j1", BULK, gang(3, 8, 10_000, true));
            assertThat(starts(mFixture.round())).isEmpty();
            mFixture.now += 2_000;
            assertThat(starts(mFixture.round())).hasSize(3);
        }

        /** Pattern: single tasks take idle workers on every rack, and no rack is left whole. */
        @Test
        void singleTasksLeaveTheEmptiestRackWhole() {
            for (String id : List.of("w1", "w2", "w3")) {
                mFixture.addWorker(id, "r2");
            }
            mFixture.addWorker("w4", "r1");
            mFixture.addWorker("w5", "r1");
            mFixture.submit("j1", BULK, tasks(2, 8, 1_000));
            assertThat(workersOf(starts(mFixture.round()))).containsExactlyInAnyOrder("w4", "w5");
        }

        /** fcvf quiet-1: a remote start at the last moment of use ended 200 ms too late. */
        @Test
        void gangThatCanOnlyEndLateStartsAcrossRacksWithTimeToSpare() {
            for (int i = 0; i < 9; i++) {
                mFixture.addWorker("w" + i, "r" + i / 3);
            }
            for (int i = 0; i < 3; i++) {
                String rack = "r" + i;
                mFixture.submit(
                        "j" + i, BULK, StepBuilder.step(2, 8, 60_000).dataRack(rack).build());
            }
            mFixture.accept(mFixture.round());
            mFixture.now += 5_000;
            mFixture.submit("wide", URGENT, gang(3, 8, 1_000, true));
            mFixture.round();
            // In time until 1.1 s, of use until 6.3 s; a remote run takes 3 s if expected rightly.
            mFixture.now += 1_200;
            assertThat(starts(mFixture.round())).isEmpty();
            mFixture.now += 600;
            assertThat(starts(mFixture.round())).hasSize(3);
        }

        /** Pattern: a short queue for one rack; a remote start would take three times as long. */
        @Test
        void gangWaitsForARackWhileTheClusterIsBusy() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r" + i / 2);
            }
            mFixture.submit("j1", BULK, tasks(1, 8, 1_000), tasks(1, 8, 1_000));
            mFixture.accept(mFixture.round());
            mFixture.submit("j2", BULK, gang(2, 8, 10_000, true));
            mFixture.submit("j3", BULK, gang(2, 8, 10_000, true));
            mFixture.now += 2_000;
            assertThat(starts(mFixture.round())).hasSize(2);
            assertThat(starts(mFixture.round())).isEmpty();
        }
    }

    @Nested
    class WideGangs {
        /** Pattern: a stream of small tasks takes each place that becomes free (fcvf scale-2). */
        @Test
        void smallTasksLeaveAWaitingGangTheRoomThatBecomesFree() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r1");
            }
            mFixture.submit("long", BULK, tasks(4, 8, 2_000));
            List<JobAction> running = mFixture.round();
            mFixture.accept(running);
            mFixture.submit("wide", URGENT, gang(4, 8, 1_000, false));
            int end = 1;
            List<JobAction.Start> gang = List.of();
            for (int i = 0; i < 4; i++) {
                mFixture.now += 500;
                mFixture.submit("small" + i, BULK, tasks(8, 1, 1_000));
                mFixture.report(
                        running.get(i).worker().value(),
                        List.of(),
                        List.of(ended(end++, running.get(i).run(), RunOutcome.DONE)));
                List<JobAction> actions = mFixture.round();
                mFixture.accept(actions);
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
        /** Pattern: a crest of urgent jobs meets a cluster that bulk work fills. */
        @Test
        void urgentJobWithinItsGuaranteeReclaimsBeforeTheBound() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, tasks(2, 8, 60_000));
            mFixture.accept(mFixture.round());
            mFixture.now += 5_000;
            mFixture.submit("j2", URGENT, gang(2, 8, 1_000, true));
            List<JobAction.Stop> stops = List.of();
            long waited = 0;
            while (stops.isEmpty() && waited < JobSchedulerFixture.SETTINGS.reclaimMs()) {
                stops = stops(mFixture.round());
                mFixture.now += 50;
                waited += 50;
            }
            assertThat(stops).hasSize(2);
            assertThat(waited).isLessThan(JobSchedulerFixture.SETTINGS.reclaimMs() - 1_000);
            for (JobAction.Stop stop : stops) {
                mFixture.report(
                        stop.worker().value(),
                        List.of(),
                        List.of(ended(1, stop.run(), RunOutcome.STOPPED)));
            }
            assertThat(starts(mFixture.round()))
                    .extracting(s -> s.run().task().job())
                    .containsOnly(new JobId("j2"));
        }

        /** Pattern: urgent work beyond the guarantee must not throw away much other work. */
        @Test
        void urgentJobBeyondItsGuaranteeDoesNotStopLongWork() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 8, 60_000));
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            mFixture.now += 20_000;
            mFixture.report("w1", List.of(running(actions.get(0), 33)), List.of());
            mFixture.submit("j2", URGENT, tasks(3, 8, 1_000));
            for (int i = 0; i < 60; i++) {
                assertThat(stops(mFixture.round())).isEmpty();
                mFixture.now += 50;
            }
        }
    }
}
