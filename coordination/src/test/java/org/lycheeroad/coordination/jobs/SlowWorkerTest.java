package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;

/**
 * Workers that turn several times slower without notice: they answer all calls, and only the
 * progress of their runs shows it.
 */
class SlowWorkerTest {
    private static final long REPORT_INTERVAL_MS = 1_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final Map<String, Double> mPercentPerMs = new HashMap<>();
    private final Map<JobAction.Start, Double> mPercent = new HashMap<>();
    private final List<JobAction.Stop> mStops = new ArrayList<>();

    private void addWorker(String id, String rack, double percentPerMs) {
        mFixture.addWorker(id, rack);
        mPercentPerMs.put(id, percentPerMs);
    }

    /** Advances the time by one report interval and reports the progress of all runs. */
    private void work() {
        mFixture.nowMs += REPORT_INTERVAL_MS;
        mPercent.replaceAll(
                (start, percent) ->
                        Math.min(
                                100,
                                percent
                                        + REPORT_INTERVAL_MS
                                                * mPercentPerMs.get(start.worker().value())));
        for (String worker : mPercentPerMs.keySet()) {
            List<ActiveRun> runs = new ArrayList<>();
            mPercent.forEach(
                    (start, percent) -> {
                        if (start.worker().value().equals(worker)) {
                            runs.add(running(start, percent.intValue()));
                        }
                    });
            mFixture.report(worker, runs, List.of());
        }
        round();
    }

    private List<JobAction.Start> round() {
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        starts(actions).forEach(start -> mPercent.put(start, 0.0));
        mStops.addAll(stops(actions));
        return starts(actions);
    }

    @Nested
    class NewWork {
        /** Guards against starts on a worker that has turned slow while its run goes on. */
        @Test
        void workerThatTurnsSlowGetsNoNewWork() {
            addWorker("w1", "r1", 0.01);
            mFixture.submit("j1", BULK, tasks(1, 1, 60_000));
            round();
            work();
            work();
            mPercentPerMs.put("w1", 0.002);
            work();
            work();
            mFixture.submit("j2", BULK, tasks(1, 1, 10_000));
            assertThat(round()).isEmpty();
            addWorker("w2", "r1", 0.01);
            assertThat(workersOf(round())).containsExactly("w2");
        }

        /** Guards against a worker that stays unused after it has recovered. */
        @Test
        void recoveredWorkerIsUsedAgain() {
            addWorker("w1", "r1", 0.01);
            mFixture.submit("j1", BULK, tasks(1, 1, 60_000));
            round();
            work();
            mPercentPerMs.put("w1", 0.001);
            work();
            work();
            mPercentPerMs.put("w1", 0.01);
            work();
            work();
            work();
            work();
            mFixture.submit("j2", BULK, tasks(1, 1, 10_000));
            assertThat(workersOf(round())).containsExactly("w1");
        }

        /** Guards against taking tasks of different sizes for slow workers. */
        @Test
        void tasksOfDifferentDurationsDoNotMakeAWorkerSlow() {
            addWorker("w1", "r1", 0.01);
            addWorker("w2", "r1", 0.004);
            addWorker("w3", "r1", 0.008);
            mFixture.submit("j1", BULK, tasks(3, 8, 20_000));
            round();
            work();
            work();
            work();
            assertThat(mStops).isEmpty();
            mFixture.submit("j2", BULK, tasks(3, 0, 20_000));
            assertThat(round()).hasSize(3);
        }
    }

    @Nested
    class RunningWork {
        /** Guards against a gang that ends too late because of its slowest worker. */
        @Test
        void gangMovesOffASlowWorkerIfItThenEndsInTime() {
            addWorker("w1", "r1", 0.03);
            addWorker("w2", "r1", 0.03);
            addWorker("w3", "r1", 0.003);
            mFixture.submit("j1", URGENT, gang(3, 8, 3_300, false));
            round();
            addWorker("w4", "r1", 0.03);
            work();
            work();
            // Stops without an answer are repeated.
            assertThat(Set.copyOf(mStops)).hasSize(3);
            assertThat(mStops)
                    .extracting(JobAction.Stop::reason)
                    .contains(StopReason.WORKER_SLOW, StopReason.GANG_BROKEN);
        }

        /** Guards against lost work of a gang that has no place elsewhere. */
        @Test
        void gangStaysWithoutAnotherPlace() {
            addWorker("w1", "r1", 0.03);
            addWorker("w2", "r1", 0.03);
            addWorker("w3", "r1", 0.003);
            mFixture.submit("j1", URGENT, gang(3, 8, 3_300, false));
            round();
            work();
            work();
            assertThat(mStops).isEmpty();
        }

        /** Guards against moving work that ends in time where it is. */
        @Test
        void gangThatEndsInTimeAnywayStays() {
            addWorker("w1", "r1", 0.08);
            addWorker("w2", "r1", 0.08);
            addWorker("w3", "r1", 0.02);
            mFixture.submit("j1", BULK, gang(3, 8, 1_250, false));
            round();
            addWorker("w4", "r1", 0.08);
            work();
            work();
            work();
            assertThat(mStops).isEmpty();
        }
    }

    @Nested
    class FastWorkers {
        /** Guards against urgent jobs that end late on slower workers beside idle faster ones. */
        @Test
        void urgentTasksPreferWorkersThatWereFaster() {
            for (int i = 0; i < 6; i++) {
                addWorker("w" + i, "r1", i == 5 ? 0.025 : 0.02);
            }
            for (int job = 0; job < 6; job++) {
                mFixture.submit("j" + job, BULK, tasks(6, 8, 5_000));
                round();
                work();
                work();
                mFixture.scheduler.onCancel(new JobId("j" + job), mFixture.nowMs);
                mPercent.clear();
                mFixture.nowMs += REPORT_INTERVAL_MS;
                mPercentPerMs.keySet().forEach(w -> mFixture.report(w, List.of(), List.of()));
            }
            mFixture.submit("urgent", URGENT, tasks(1, 1, 1_000));
            assertThat(workersOf(round())).containsExactly("w5");
        }
    }

    @Nested
    class Forecasts {
        /** Guards against stopping a run on a draining worker that is about to end. */
        @Test
        void progressOutweighsAWrongEstimate() {
            addWorker("w1", "r1", 0.03);
            mFixture.submit("j1", BULK, tasks(1, 1, 70_000));
            round();
            work();
            addWorker("w2", "r1", 0.03);
            mFixture.scheduler.onWorkerEntry(
                    JobSchedulerFixture.drainingEntry("w1", "r1", 3_000), mFixture.nowMs);
            round();
            work();
            assertThat(mStops).isEmpty();
        }
    }
}
