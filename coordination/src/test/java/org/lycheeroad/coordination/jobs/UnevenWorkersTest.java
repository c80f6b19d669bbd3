package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;

/** Load on twelve workers, of which w0 to w3 are 2.5 times slower than the others. */
class UnevenWorkersTest {
    private static final int WORKERS = 12;
    private static final int SLOW_WORKERS = 4;
    private static final double FAST_PERCENT_PER_MS = 0.024;
    private static final long REPORT_INTERVAL_MS = 1_000;
    private static final String[] SLOW = {"w0", "w1", "w2", "w3"};

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final Map<JobAction.Start, Double> mPercent = new HashMap<>();

    UnevenWorkersTest() {
        for (int i = 0; i < WORKERS; i++) {
            mFixture.addWorker("w" + i, "r1");
        }
    }

    private static double percentPerMs(String worker) {
        boolean slow = Integer.parseInt(worker.substring(1)) < SLOW_WORKERS;
        return slow ? FAST_PERCENT_PER_MS / 2.5 : FAST_PERCENT_PER_MS;
    }

    /** Advances the time by one report interval and reports the progress of all runs. */
    private void work() {
        mFixture.nowMs += REPORT_INTERVAL_MS;
        mPercent.replaceAll(
                (start, percent) ->
                        percent + REPORT_INTERVAL_MS * percentPerMs(start.worker().value()));
        for (int i = 0; i < WORKERS; i++) {
            String worker = "w" + i;
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
        return starts(actions);
    }

    /** Runs a wide step, whose tasks show the speeds, and ends it. */
    private void learnSpeeds() {
        mFixture.submit("wide", BULK, tasks(2 * WORKERS, 4, 4_000));
        round();
        work();
        work();
        end("wide");
        round();
        assertThat(mFixture.scheduler.workerSpeeds().uneven()).isTrue();
    }

    private void end(String job) {
        mFixture.scheduler.onCancel(new JobId(job), mFixture.nowMs);
        mPercent.keySet().removeIf(start -> start.run().task().job().value().equals(job));
        mFixture.nowMs += 1;
        for (int i = 0; i < WORKERS; i++) {
            String worker = "w" + i;
            List<ActiveRun> runs = new ArrayList<>();
            mPercent.forEach(
                    (start, percent) -> {
                        if (start.worker().value().equals(worker)) {
                            runs.add(running(start, percent.intValue()));
                        }
                    });
            mFixture.report(worker, runs, List.of());
        }
    }

    /** Occupies all fast workers, with urgent work that no other urgent job preempts. */
    private void fillFastWorkers() {
        mFixture.submit("full", URGENT, tasks(WORKERS - SLOW_WORKERS, 8, 2_000));
        assertThat(workersOf(round())).hasSize(WORKERS - SLOW_WORKERS).doesNotContain(SLOW);
    }

    @Nested
    class UrgentJobs {
        /** Guards against an urgent job that ends late on a slow worker, a moment too early. */
        @Test
        void urgentJobWaitsForAFastWorker() {
            learnSpeeds();
            fillFastWorkers();
            mFixture.submit("urgent", URGENT, tasks(1, 8, 2_000));
            assertThat(round()).isEmpty();
            mFixture.nowMs += 300;
            end("full");
            assertThat(workersOf(round())).hasSize(1).doesNotContain(SLOW);
        }

        /** Guards against an urgent job that waits in vain beside free workers. */
        @Test
        void urgentJobTakesASlowWorkerOnceFastOnesAreTooLate() {
            learnSpeeds();
            fillFastWorkers();
            mFixture.submit("urgent", URGENT, tasks(1, 8, 2_000));
            assertThat(round()).isEmpty();
            mFixture.nowMs += 2_500;
            assertThat(workersOf(round())).hasSize(1).containsAnyOf(SLOW);
        }
    }

    @Nested
    class JobsWithSlack {
        /** Guards against jobs with time to spare on the workers that urgent jobs need. */
        @Test
        void jobThatEndsInTimeAnywhereTakesSlowWorkers() {
            learnSpeeds();
            mFixture.submit("bulk", BULK, tasks(SLOW_WORKERS, 8, 4_000));
            assertThat(workersOf(round())).containsExactlyInAnyOrder(SLOW);
        }

        /** Guards against fast workers that wait for the slow member of a gang. */
        @Test
        void gangRunsOnWorkersOfLikeSpeed() {
            learnSpeeds();
            mFixture.submit("gang", BULK, gang(SLOW_WORKERS + 1, 8, 4_000, false));
            assertThat(workersOf(round())).hasSize(SLOW_WORKERS + 1).doesNotContain(SLOW);
        }
    }

    @Nested
    class Takeover {
        /** Guards against a new owner that treats all workers alike for long. */
        @Test
        void newOwnerLearnsSpeedsFromTheRunsThatGoOn() {
            List<TaskProgress> progress = new ArrayList<>();
            mFixture.submit("wide", BULK, tasks(2 * WORKERS, 4, 8_000));
            round();
            work();
            mFixture.scheduler.takeUnsavedProgress();
            JobSchedulerFixture next = new JobSchedulerFixture();
            next.nowMs = mFixture.nowMs;
            mPercent.keySet()
                    .forEach(
                            start ->
                                    progress.add(
                                            new TaskProgress(
                                                    0,
                                                    0,
                                                    start.run().task().index(),
                                                    start.run().attempt(),
                                                    0,
                                                    0,
                                                    false,
                                                    start.worker(),
                                                    JobSchedulerFixture.INCARNATION,
                                                    "")));
            next.submit(
                    "wide",
                    BULK,
                    new ProgressRecord(WorkState.ACTIVE, progress),
                    tasks(2 * WORKERS, 4, 8_000));
            for (int second = 0; second < 3; second++) {
                next.nowMs += REPORT_INTERVAL_MS;
                int elapsedMs = second * 1_000;
                for (int i = 0; i < WORKERS; i++) {
                    String worker = "w" + i;
                    List<ActiveRun> runs = new ArrayList<>();
                    mPercent.forEach(
                            (start, percent) -> {
                                if (start.worker().value().equals(worker)) {
                                    double now = percent + elapsedMs * percentPerMs(worker);
                                    runs.add(running(start, (int) now));
                                }
                            });
                    next.addWorkerEntry(worker, "r1");
                    next.report(worker, runs, List.of());
                }
                next.runRound();
            }
            WorkerSpeeds speeds = next.scheduler.workerSpeeds();
            assertThat(speeds.uneven()).isTrue();
            assertThat(speeds.lowest()).isLessThan(0.75 * speeds.highest());
        }
    }
}
