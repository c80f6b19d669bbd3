package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/** A tenth of the workers fail all that they start, and wide gangs have few attempts. */
class FailingWorkerTest {
    private static final int WORKERS = 20;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final Map<String, Integer> mEndNumbers = new HashMap<>();

    @BeforeEach
    void addWorkers() {
        for (int i = 0; i < WORKERS; i++) {
            mFixture.addWorker(String.format("w%02d", i), "r" + i / 10);
        }
    }

    private List<JobAction.Start> startAll() {
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        return starts(actions);
    }

    private void end(JobAction.Start start, RunOutcome how) {
        String worker = start.worker().value();
        int number = mEndNumbers.merge(worker, 1, Integer::sum);
        mFixture.report(worker, List.of(), List.of(ended(number, start.run(), how)));
    }

    /** Guards against a failing worker that uses up an attempt of a second job. */
    @Test
    void workerThatFailsARunAtOnceGetsNoOtherRunForAWhile() {
        mFixture.submit("j1", BULK, tasks(1, 1, 5_000));
        JobAction.Start first = startAll().get(0);
        mFixture.nowMs += 100;
        end(first, RunOutcome.FAILED);
        mFixture.submit("j2", BULK, tasks(WORKERS, 8, 5_000));
        assertThat(workersOf(startAll()))
                .hasSize(WORKERS - 1)
                .doesNotContain(first.worker().value());
        mFixture.nowMs += 3_001;
        assertThat(workersOf(startAll())).containsExactly(first.worker().value());
    }

    /** Guards against taking workers out of use for a run that fails late, as jobs do. */
    @Test
    void workerThatFailsARunLateStaysInUse() {
        mFixture.submit("j1", BULK, tasks(1, 1, 5_000));
        JobAction.Start first = startAll().get(0);
        mFixture.nowMs += 2_000;
        end(first, RunOutcome.FAILED);
        mFixture.submit("j2", BULK, tasks(WORKERS, 8, 5_000));
        assertThat(workersOf(startAll())).hasSize(WORKERS);
    }

    /** Guards against a job that fails everywhere and takes the workers away from all others. */
    @Test
    void jobThatFailsEverywhereLeavesMostWorkersInUse() {
        mFixture.submit("j1", BULK, tasks(WORKERS, 8, 5_000));
        List<JobAction.Start> all = startAll();
        mFixture.nowMs += 100;
        all.forEach(start -> end(start, RunOutcome.FAILED));
        mFixture.submit("j2", BULK, tasks(WORKERS, 0, 5_000));
        assertThat(workersOf(startAll())).hasSizeGreaterThanOrEqualTo(WORKERS * 8 / 10);
    }

    /** Guards against a gang whose next attempt fails on another failing worker. */
    @Test
    void nextAttemptOfAGangPrefersWorkersWithARecentSuccess() {
        mFixture.submit("j0", BULK, tasks(WORKERS, 8, 5_000));
        for (JobAction.Start start : startAll()) {
            boolean succeeds = start.worker().value().compareTo("w16") >= 0;
            end(start, succeeds ? RunOutcome.DONE : RunOutcome.LAPSED);
        }
        mFixture.scheduler.onCancel(new JobId("j0"), mFixture.nowMs);
        mFixture.submit("j1", BULK, gang(4, 8, 5_000, false));
        List<JobAction.Start> attempt = startAll();
        assertThat(workersOf(attempt)).containsExactlyInAnyOrder("w00", "w01", "w02", "w03");
        mFixture.nowMs += 2_000;
        end(attempt.get(0), RunOutcome.FAILED);
        attempt.subList(1, 4).forEach(start -> end(start, RunOutcome.BROKEN));
        assertThat(workersOf(startAll())).containsExactlyInAnyOrder("w16", "w17", "w18", "w19");
    }

    /** A worker whose label jobs need, and which is the only one with it. */
    @Nested
    class OnlyWorkerWithALabel {
        private static final String WORKER = "w90";

        @BeforeEach
        void addWorker() {
            mFixture.addWorker(WORKER, "r9");
        }

        /**
         * Guards against a quarantine of 24 s after runs that fail together; lasting tasks have to
         * start within 9 s of their last run.
         */
        @Test
        void runsThatFailTogetherLengthenTheQuarantineOnce() {
            submitLasting(5);
            fail(startAll());
            mFixture.nowMs += 3_001;
            assertThat(startAll()).isNotEmpty();
        }

        /** Guards against barring a worker for tasks that fail by themselves long after a start. */
        @Test
        void lastingTasksThatWereAtWorkSayNothingAboutTheWorker() {
            submitLasting(2);
            List<JobAction.Start> starts = startAll();
            mFixture.nowMs += 5_000;
            reportAtWork(starts);
            fail(starts);
            assertThat(startAll()).hasSize(2);
        }

        /** Guards against quarantines that only ever get longer, as lasting tasks never succeed. */
        @Test
        void lastingTaskAtWorkShowsThatTheWorkerIsSound() {
            submitLasting(2);
            failTogether();
            reportAtWork(startAll());
            submitLasting(2);
            failTogether();
            assertThat(startAll()).isNotEmpty();
        }

        private void failTogether() {
            fail(startAll());
            assertThat(startAll()).isEmpty();
            mFixture.nowMs += 3_001;
        }

        /** Guards against a job that waits beside a free worker for the end of its quarantine. */
        @Test
        void longQuarantineYieldsToAStepThatNoOtherWorkerCanRun() {
            failRepeatedly();
            mFixture.submit("sound", BULK, step(1, 1, 1_000).label("r9").build());
            assertThat(startWithinMs(3_000)).isNotEmpty();
        }

        /** Guards against lasting tasks that stay down for longer than 9 s. */
        @Test
        void longQuarantineYieldsToALastingTask() {
            failRepeatedly();
            submitLasting(1);
            assertThat(startWithinMs(9_000)).isNotEmpty();
        }

        /** Guards against a failing worker that uses up attempts of jobs that others can run. */
        @Test
        void longQuarantineDoesNotYieldIfOtherWorkersHaveRoom() {
            failRepeatedly();
            for (int i = 0; i < 40; i++) {
                mFixture.submit("other" + i, BULK, tasks(1, 1, 5_000));
                assertThat(workersOf(startAll())).doesNotContain(WORKER).hasSize(1);
                mFixture.nowMs += 100;
            }
        }

        /** Guards against a failing worker that uses up attempts of several jobs at once. */
        @Test
        void workerIsProbedWithOneStepAtATime() {
            failRepeatedly();
            for (int i = 0; i < 3; i++) {
                mFixture.submit("probe" + i, BULK, step(1, 1, 1_000).label("r9").build());
            }
            List<JobAction.Start> probe = startWithinMs(3_000);
            assertThat(probe).hasSize(1);
            assertThat(startAll()).isEmpty();
            mFixture.nowMs += 600;
            mFixture.report(WORKER, List.of(running(probe.get(0), 60)), List.of());
            assertThat(startAll()).hasSize(2);
        }

        private void failRepeatedly() {
            for (int i = 0; i < 8; i++) {
                JobId job = new JobId("failing" + i);
                mFixture.submit(job.value(), BULK, step(1, 1, 1_000).label("r9").build());
                fail(startWithinMs(25_000));
                mFixture.scheduler.onCancel(job, mFixture.nowMs);
            }
        }

        /** Runs rounds until something starts. */
        private List<JobAction.Start> startWithinMs(long maxMs) {
            List<JobAction.Start> starts = startAll();
            for (long untilMs = mFixture.nowMs + maxMs - 100;
                    starts.isEmpty() && mFixture.nowMs < untilMs;
                    starts = startAll()) {
                mFixture.nowMs += 100;
            }
            return starts;
        }

        /** Reports that runs have failed together. */
        private void fail(List<JobAction.Start> starts) {
            List<EndedRun> ends = new ArrayList<>();
            for (JobAction.Start start : starts) {
                int number = mEndNumbers.merge(WORKER, 1, Integer::sum);
                ends.add(ended(number, start.run(), RunOutcome.FAILED));
            }
            mFixture.report(WORKER, List.of(), ends);
        }

        private void submitLasting(int jobs) {
            for (int i = 0; i < jobs; i++) {
                mFixture.submit(
                        "lasting" + mFixture.nowMs + "-" + i,
                        BULK,
                        step(1, 1, 1_000).label("r9").longRunning().build());
            }
        }

        private void reportAtWork(List<JobAction.Start> starts) {
            mFixture.report(
                    WORKER, starts.stream().map(start -> running(start, 100)).toList(), List.of());
        }
    }

    /** Jobs that can never be done: they fail on every worker. */
    @Nested
    class FailingJobs {
        /** Guards against barring all workers by two jobs of which every run fails late. */
        @Test
        void jobsThatFailEverywhereAreNotHeldAgainstTheWorkers() {
            for (String job : List.of("j1", "j2")) {
                mFixture.submit(job, BULK, tasks(WORKERS, 8, 5_000));
                List<JobAction.Start> all = startAll();
                mFixture.nowMs += 2_000;
                all.forEach(start -> end(start, RunOutcome.FAILED));
                mFixture.scheduler.onCancel(new JobId(job), mFixture.nowMs);
            }
            assertAllInUse();
        }

        /** Guards against barring the first worker of a job that fails on the next one, too. */
        @Test
        void secondFailureOfATaskElsewhereTakesTheSuspicionBack() {
            mFixture.submit("j1", BULK, tasks(1, 8, 5_000));
            for (int i = 0; i < 2; i++) {
                mFixture.nowMs += 100;
                end(startAll().get(0), RunOutcome.FAILED);
            }
            mFixture.scheduler.onCancel(new JobId("j1"), mFixture.nowMs);
            assertAllInUse();
        }

        /** As above, for a gang that has used up its attempts. */
        @Test
        void failureOfAllAttemptsOfAGangTakesTheSuspicionBack() {
            mFixture.submit("j1", BULK, gang(4, 8, 5_000, false));
            for (int i = 0; i < JobSchedulerFixture.MAX_ATTEMPTS; i++) {
                mFixture.nowMs += 100;
                startAll().forEach(start -> end(start, RunOutcome.FAILED));
            }
            mFixture.scheduler.onCancel(new JobId("j1"), mFixture.nowMs);
            assertAllInUse();
        }

        /** Guards against trusting failing workers of which a wide step has met several. */
        @Test
        void oneTaskThatFailsTwiceDoesNotClearTheWorkersOfAWideStep() {
            mFixture.submit("j1", BULK, tasks(6, 8, 5_000));
            List<JobAction.Start> first = startAll();
            mFixture.nowMs += 100;
            first.subList(0, 3).forEach(start -> end(start, RunOutcome.FAILED));
            end(startAll().get(0), RunOutcome.FAILED);
            mFixture.submit("j2", BULK, tasks(WORKERS, 8, 5_000));
            assertThat(workersOf(startAll())).doesNotContain(first.get(0).worker().value());
        }

        private void assertAllInUse() {
            mFixture.submit("sound", BULK, tasks(WORKERS, 8, 5_000));
            assertThat(workersOf(startAll())).hasSize(WORKERS);
        }

        /** Guards against barring most workers by many jobs that fail once each. */
        @Test
        void mostWorkersStayInUseHoweverManyJobsFail() {
            for (int i = 0; i < 3; i++) {
                for (int j = 0; j < WORKERS; j++) {
                    mFixture.submit("j" + i + "-" + j, BULK, tasks(1, 8, 5_000));
                }
                List<JobAction.Start> all = startAll();
                mFixture.nowMs += 2_000;
                all.forEach(start -> end(start, RunOutcome.FAILED));
                all.forEach(
                        start ->
                                mFixture.scheduler.onCancel(
                                        start.run().task().job(), mFixture.nowMs));
            }
            mFixture.submit("sound", BULK, tasks(WORKERS, 8, 5_000));
            assertThat(workersOf(startAll())).hasSizeGreaterThanOrEqualTo(WORKERS * 2 / 3);
        }
    }
}
