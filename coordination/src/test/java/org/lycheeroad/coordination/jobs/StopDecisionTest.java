package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.INCARNATION;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkState;

/** Urgent gangs arrive while the tasks of long gangs hold all accelerators. */
class StopDecisionTest {
    private static final long LONG_MS = 60_000;
    private static final long STOP_RETRY_MS = 1_000;

    /** Longer than a used up budget takes to refill. */
    private static final long BUDGET_REFILL_MS = 20_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final List<JobAction.Start> mStarts = new ArrayList<>();

    @Nested
    class RoomThatComesByItself {
        /** Guards against stopping gangs shortly before they end, in time for the urgent one. */
        @Test
        void runsThatEndInTimeAreNotStopped() {
            startGang("long", 3, 2_000);
            mFixture.nowMs += 1_500;
            reportAll(75);
            mFixture.submit("urgent", URGENT, gang(3, 8, 1_000, false));
            for (int i = 0; i < 4; i++) {
                assertThat(stops(mFixture.runRound())).isEmpty();
                mFixture.nowMs += 100;
            }
        }

        /** Guards against urgent work that waits for long gangs until it is late. */
        @Test
        void runsThatEndTooLateAreStopped() {
            startGang("long", 3, LONG_MS);
            mFixture.nowMs += 100;
            mFixture.submit("urgent", URGENT, gang(3, 8, 1_000, false));
            assertThat(stops(mFixture.runRound())).hasSize(3);
        }

        /** Guards against a stop for a job that is late in any case. */
        @Test
        void nothingIsStoppedForAJobThatEndsLateAnyway() {
            startGang("long", 3, 3_000);
            mFixture.submit("urgent", URGENT, gang(3, 8, 1_000, false));
            mFixture.nowMs += 1_000;
            assertThat(stops(mFixture.runRound())).isEmpty();
        }
    }

    @Nested
    class RepeatedStops {
        /**
         * Guards against a task that is stopped again and again because each new owner starts
         * without knowing of the stops before.
         */
        @Test
        void runOfATaskThatAnEarlierOwnerStoppedIsSpared() {
            restore("stopped", "w1", 2);
            restore("fresh", "w2", 1);
            mFixture.runRound();
            mFixture.nowMs += 100;
            mFixture.submit("urgent", URGENT, tasks(1, 8, 1_000));
            assertThat(stops(mFixture.runRound()))
                    .extracting(stop -> stop.run().task().job().value())
                    .containsExactly("fresh");
        }

        /** Guards against a gang that never ends because it is stopped again after each restart. */
        @Test
        void restartedGangIsSparedUntilItHasRunOn() {
            startGang("long", 3, LONG_MS);
            mFixture.nowMs += 500;
            mFixture.submit("urgent", URGENT, gang(3, 8, 1_000, false));
            stops(mFixture.runRound());
            endAll(1, RunOutcome.STOPPED);
            startAll();
            mFixture.nowMs += 900;
            endAll(2, RunOutcome.DONE);
            mFixture.nowMs += BUDGET_REFILL_MS;
            startAll();
            mFixture.submit("urgent2", URGENT, gang(3, 8, 1_000, false));
            mFixture.nowMs += 100;
            assertThat(stops(mFixture.runRound())).isEmpty();
            mFixture.nowMs += 500;
            assertThat(stops(mFixture.runRound())).hasSize(3);
        }
    }

    @Nested
    class Accounting {
        /** Guards against counting a stop twice whose answer was lost. */
        @Test
        void repeatedStopIsCountedOnce() {
            startGang("long", 3, LONG_MS);
            mFixture.nowMs += 100;
            mFixture.submit("urgent", URGENT, gang(3, 8, 1_000, false));
            mFixture.runRound();
            mFixture.nowMs += STOP_RETRY_MS;
            assertThat(stops(mFixture.runRound())).isNotEmpty();
            List<StoppedRun> stopped = mFixture.scheduler.takeStoppedRuns();
            assertThat(stopped)
                    .extracting(StoppedRun::reason)
                    .containsExactlyInAnyOrder(
                            StopReason.RECLAIMED, StopReason.GANG_BROKEN, StopReason.GANG_BROKEN);
            // 8 accelerators count as 64 cores.
            assertThat(stopped).allMatch(run -> run.lostCoreMs() == 64.1 * 100);
        }
    }

    @Nested
    class Budget {
        private static final double CORES = 1_000;

        private final StopBudget mBudget = new StopBudget();

        /** Guards against stops without bound while the cluster is full. */
        @Test
        void refillsMoreSlowlyWithLessRoom() {
            assertThat(refillMs(0)).isGreaterThan(2 * refillMs(1));
        }

        /** Guards against a debt after due guarantees that forbids stops for a long time. */
        @Test
        void debtIsBounded() {
            assertThat(refillMs(1)).isLessThan(LONG_MS);
        }

        /** Returns how long the budget is used up after a very large loss. */
        private long refillMs(double freeShare) {
            long sinceMs = mFixture.nowMs;
            mBudget.refill(CORES, freeShare, mFixture.nowMs);
            mFixture.nowMs++;
            mBudget.refill(CORES, freeShare, mFixture.nowMs);
            mBudget.charge(CORES * 1_000);
            while (!mBudget.isLeft()) {
                mFixture.nowMs += 100;
                mBudget.refill(CORES, freeShare, mFixture.nowMs);
            }
            return mFixture.nowMs - sinceMs;
        }
    }

    /** Starts a gang whose tasks take a whole worker each. */
    private void startGang(String job, int tasks, long estimateMs) {
        for (int i = 1; i <= tasks; i++) {
            mFixture.addWorker("w" + i, "r1");
        }
        mFixture.submit(job, BULK, gang(tasks, 8, estimateMs, false));
        startAll();
    }

    private void startAll() {
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        mStarts.clear();
        mStarts.addAll(starts(actions));
        assertThat(mStarts).hasSize(3);
    }

    private void reportAll(int percent) {
        for (JobAction.Start start : mStarts) {
            mFixture.report(start.worker().value(), List.of(running(start, percent)), List.of());
        }
    }

    private void endAll(long number, RunOutcome outcome) {
        for (JobAction.Start start : mStarts) {
            mFixture.report(
                    start.worker().value(),
                    List.of(),
                    List.of(ended(number, start.run(), outcome)));
        }
    }

    /** Restores a job whose run of some attempt is on a worker, and confirms the run. */
    private void restore(String job, String worker, int attempt) {
        TaskProgress task =
                new TaskProgress(
                        0, 0, 0, attempt, 0, 0, false, new WorkerId(worker), INCARNATION, "");
        ProgressRecord progress = new ProgressRecord(WorkState.ACTIVE, List.of(task));
        mFixture.submit(job, BULK, progress, tasks(1, 8, LONG_MS));
        mFixture.addWorkerEntry(worker, "r1");
        mFixture.report(
                worker, List.of(running(restoredStart(job, worker, attempt), 1)), List.of());
    }

    private static JobAction.Start restoredStart(String job, String worker, int attempt) {
        return new JobAction.Start(
                new WorkerId(worker),
                INCARNATION,
                new RunRef(new TaskRef(new JobId(job), 0, 0, 0), attempt),
                "",
                "",
                "");
    }
}
