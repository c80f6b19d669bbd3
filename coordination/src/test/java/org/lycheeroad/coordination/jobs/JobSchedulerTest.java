package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
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
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.WorkState;

/** Each test names the failure that it guards against. */
class JobSchedulerTest {
    private static final JobId JOB = new JobId("j1");
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    @Nested
    class Recording {
        /** A new owner could not know of a run that was started before it was recorded. */
        @Test
        void runStartsOnlyOnceItsRecordIsSaved() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            assertThat(starts(mFixture.round(false))).isEmpty();
            mFixture.saveAll();
            assertThat(starts(mScheduler.takeActions())).hasSize(1);
        }

        /** A worker that forgets an end that is not saved loses it with the owner. */
        @Test
        void endIsObservedOnlyOnceItIsSaved() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            mFixture.report(
                    "w1", List.of(), List.of(ended(1, actions.get(0).run(), RunOutcome.DONE)));
            assertThat(mScheduler.observed(new WorkerId("w1"))).isZero();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
            mFixture.saveAll();
            assertThat(mScheduler.observed(new WorkerId("w1"))).isEqualTo(1);
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.COMPLETED);
        }

        /** Own day store-silent-workers-die on fcvf: the second member's end was noted unsaved. */
        @Test
        void endOfAGangMemberIsObservedOnlyOnceTheJobsEndIsSaved() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            for (JobAction start : actions) {
                mFixture.report(
                        start.worker().value(),
                        List.of(),
                        List.of(ended(1, start.run(), RunOutcome.DONE)));
            }
            assertThat(mScheduler.observed(new WorkerId("w1"))).isZero();
            assertThat(mScheduler.observed(new WorkerId("w2"))).isZero();
            mFixture.saveAll();
            assertThat(mScheduler.observed(new WorkerId("w1"))).isEqualTo(1);
            assertThat(mScheduler.observed(new WorkerId("w2"))).isEqualTo(1);
        }

        /** A recorded run that the worker still has must not be started a second time. */
        @Test
        void newOwnerAdoptsRecordedRun() {
            mFixture.submit("j1", BULK, recordedOn("w1"), tasks(1, 1, 1_000));
            mFixture.scheduler.onWorker(JobSchedulerFixture.entry("w1", "r1", false), mFixture.now);
            mFixture.addWorker("w2", "r1");
            assertThat(starts(mFixture.round())).isEmpty();
        }

        /** The first look of a new owner bars late orders, so an absent run is over. */
        @Test
        void recordedRunThatIsAbsentStartsAgainWithHigherAttempt() {
            mFixture.submit("j1", BULK, recordedOn("w1"), tasks(1, 1, 1_000));
            mFixture.addWorker("w1", "r1");
            List<JobAction.Start> starts = starts(mFixture.round());
            assertThat(starts).hasSize(1);
            assertThat(starts.get(0).run().attempt()).isEqualTo(6);
        }

        /** A worker that is not in the directory may still run what was recorded there. */
        @Test
        void recordedRunOnAbsentWorkerWaitsForTheLease() {
            mFixture.submit("j1", BULK, recordedOn("gone"), tasks(1, 1, 1_000));
            mFixture.addWorker("w1", "r1");
            assertThat(starts(mFixture.round())).isEmpty();
            mScheduler.onLeaseLapsed(new WorkerId("gone"), mFixture.now);
            assertThat(starts(mFixture.round())).hasSize(1);
        }

        private ProgressRecord recordedOn(String worker) {
            return new ProgressRecord(
                    WorkState.ACTIVE,
                    List.of(
                            new TaskProgress(
                                    0,
                                    0,
                                    0,
                                    5,
                                    0,
                                    false,
                                    new WorkerId(worker),
                                    JobSchedulerFixture.BORN,
                                    "")));
        }
    }

    @Nested
    class Gangs {
        /** Members of a gang on two racks take three times as long. */
        @Test
        void rackLocalGangTakesOneRack() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r2");
            mFixture.addWorker("w3", "r2");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            assertThat(workersOf(starts(mFixture.round()))).containsExactlyInAnyOrder("w2", "w3");
        }

        /** A member that starts alone waits in vain. */
        @Test
        void gangThatDoesNotFitStartsNothing() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, false));
            assertThat(starts(mFixture.round())).isEmpty();
        }

        /** Members without the refused one would wait for it until their time is over. */
        @Test
        void refusedMemberStopsTheOthers() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            List<JobAction.Start> starts = starts(mFixture.round());
            mScheduler.onStartAnswer(
                    starts.get(0).worker(),
                    starts.get(0).run(),
                    OrderAnswer.ACCEPTED,
                    mFixture.now);
            mScheduler.onStartAnswer(
                    starts.get(1).worker(),
                    starts.get(1).run(),
                    OrderAnswer.UNHEALTHY,
                    mFixture.now);
            assertThat(stops(mScheduler.takeActions()))
                    .extracting(JobAction.Stop::run)
                    .contains(starts.get(0).run());
        }

        /** Each member lists its own end; only one of them counts. */
        @Test
        void oneSuccessIsTheSuccessOfAll() {
            mFixture.addWorker("w1", "r1");
            mFixture.addWorker("w2", "r1");
            mFixture.submit("j1", BULK, gang(2, 8, 1_000, true));
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            mFixture.report(
                    actions.get(0).worker().value(),
                    List.of(),
                    List.of(ended(1, actions.get(0).run(), RunOutcome.DONE)));
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.COMPLETED);
            assertThat(stops(mScheduler.takeActions())).isEmpty();
        }
    }

    @Nested
    class Failures {
        /** A job that can never be done must end. */
        @Test
        void jobFailsAfterItsAttempts() {
            for (int i = 0; i < 4; i++) {
                mFixture.addWorker("w" + i, "r1");
            }
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            for (int i = 0; i < JobSchedulerFixture.MAX_ATTEMPTS; i++) {
                List<JobAction> actions = mFixture.round();
                mFixture.accept(actions);
                mFixture.report(
                        actions.get(0).worker().value(),
                        List.of(),
                        List.of(ended(1, actions.get(0).run(), RunOutcome.FAILED)));
            }
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.FAILED);
        }

        /** Other ends than failures are no attempts. */
        @Test
        void lapsedRunIsNoFailure() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            for (int i = 1; i <= 2 * JobSchedulerFixture.MAX_ATTEMPTS; i++) {
                List<JobAction> actions = mFixture.round();
                mFixture.accept(actions);
                mFixture.report(
                        "w1",
                        List.of(),
                        List.of(ended(i, actions.get(0).run(), RunOutcome.LAPSED)));
            }
            mFixture.saveAll();
            assertThat(mScheduler.stateOf(JOB)).contains(WorkState.ACTIVE);
        }

        /** A worker that fails everything it starts would use up the attempts of all jobs. */
        @Test
        void workerThatFailsSeveralJobsGetsNoMore() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            mFixture.submit("j2", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            mFixture.report(
                    "w1",
                    List.of(),
                    List.of(
                            ended(1, actions.get(0).run(), RunOutcome.FAILED),
                            ended(2, actions.get(1).run(), RunOutcome.FAILED)));
            assertThat(starts(mFixture.round())).isEmpty();
            mFixture.now += 3_001;
            assertThat(starts(mFixture.round())).hasSize(2);
        }

        /** A task that stands still holds its room for ever. */
        @Test
        void stalledRunIsStopped() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            mFixture.now += 4_000;
            mFixture.report("w1", List.of(running(actions.get(0), 0)), List.of());
            assertThat(stops(mFixture.round()))
                    .extracting(JobAction.Stop::reason)
                    .contains(StopReason.STALLED);
        }

        /** Seed 201000690 and fcvf quiet-1: percentages end at the estimate, the work does not. */
        @Test
        void runPastItsEstimateIsNotStalled() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            List<JobAction> actions = mFixture.round();
            mFixture.accept(actions);
            mFixture.report("w1", List.of(running(actions.get(0), 99)), List.of());
            mFixture.now += 10_000;
            mFixture.report("w1", List.of(running(actions.get(0), 99)), List.of());
            assertThat(stops(mFixture.round())).isEmpty();
        }

        /** Hunt on wentmont-sched, mix seed 919603474525: a lapsed lease frees the tasks. */
        @Test
        void lapsedWorkerFreesItsTasks() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            mFixture.accept(mFixture.round());
            mFixture.addWorker("w2", "r1");
            mScheduler.onWorkerSilent(new WorkerId("w1"));
            assertThat(starts(mFixture.round())).isEmpty();
            mScheduler.onLeaseLapsed(new WorkerId("w1"), mFixture.now);
            assertThat(workersOf(starts(mFixture.round()))).containsExactly("w2");
        }

        /** Before the stop is confirmed the late start may still arrive. */
        @Test
        void unansweredStartIsRepeatedAndThenBarred() {
            mFixture.addWorker("w1", "r1");
            mFixture.submit("j1", BULK, tasks(1, 1, 1_000));
            JobAction.Start start = starts(mFixture.round()).get(0);
            mScheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.now);
            assertThat(starts(mScheduler.takeActions())).containsExactly(start);
            mFixture.now += 2_000;
            mScheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.now);
            assertThat(stops(mScheduler.takeActions())).hasSize(1);
            mFixture.report("w1", List.of(), List.of());
            assertThat(starts(mFixture.round())).isEmpty();
            mScheduler.onStopAnswer(
                    start.worker(), start.run(), OrderAnswer.ACCEPTED, mFixture.now);
            mFixture.report("w1", List.of(), List.of());
            assertThat(starts(mFixture.round()))
                    .extracting(s -> s.run().attempt())
                    .containsExactly(2);
        }
    }
}
