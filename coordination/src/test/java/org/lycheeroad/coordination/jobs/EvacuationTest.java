package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ADVISED;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.gang;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.tasks;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.ProgressRecord.TaskProgress;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;

/** Nothing starts in a failure domain from its evacuation until that is taken back. */
class EvacuationTest {
    private static final FailureDomainId NORTH = new FailureDomainId("north");
    private static final FailureDomainId SOUTH = new FailureDomainId("south");
    private static final FailureDomainId WEST = new FailureDomainId("west");
    private static final FailureDomainId EAST = new FailureDomainId("east");
    private static final RunRef RUN = new RunRef(new TaskRef(new JobId("j"), 0, 0, 0), 1);

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();

    private void addWorkerInEachDomain() {
        mFixture.addWorker("n", "r1", NORTH);
        mFixture.addWorker("s", "r2", SOUTH);
        mFixture.addWorker("w", "r3", WEST);
    }

    private void evacuate(FailureDomainId... domains) {
        mFixture.scheduler.onEvacuations(Set.of(domains));
    }

    /** Runs enough rounds for every deadline of the jobs to pass. */
    private List<JobAction.Start> startsWithinAMinute() {
        List<JobAction> actions = new ArrayList<>();
        for (int i = 0; i < 120; i++) {
            mFixture.nowMs += 500;
            actions.addAll(mFixture.runRound());
        }
        return starts(actions);
    }

    @Nested
    class Starts {
        @Test
        void goToOtherDomains() {
            addWorkerInEachDomain();
            evacuate(NORTH);
            mFixture.submit("j", BULK, tasks(16, 1, 1_000));
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("s", "w");
        }

        @Test
        void avoidTwoDomainsAtOnce() {
            addWorkerInEachDomain();
            evacuate(NORTH, WEST);
            mFixture.submit("j", BULK, tasks(16, 1, 1_000));
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("s");
        }

        /** An urgent job within its guarantee waits, too, if no other domain has room. */
        @Test
        void waitIfNoOtherDomainHasRoom() {
            mFixture.addWorker("n", "r1", NORTH);
            evacuate(NORTH);
            mFixture.submit("j", URGENT, gang(2, 4, 1_000, true));
            assertThat(startsWithinAMinute()).isEmpty();
            evacuate();
            assertThat(starts(mFixture.runRound())).hasSize(2);
        }

        @Test
        void resumeInADomainThatIsTakenBackWhileAnotherIsNot() {
            addWorkerInEachDomain();
            evacuate(NORTH, SOUTH, WEST);
            mFixture.submit("j", BULK, tasks(16, 1, 1_000));
            assertThat(starts(mFixture.runRound())).isEmpty();
            evacuate(NORTH, WEST);
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("s");
        }

        @Test
        void avoidAWorkerThatRegistersLater() {
            evacuate(NORTH);
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("j", BULK, tasks(1, 1, 1_000));
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        @Test
        void doNotFollowTheRackOfTheDataThere() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.addWorker("s", "r2", SOUTH);
            evacuate(NORTH);
            mFixture.submit("j", BULK, step(1, 1, 1_000).dataRack("r1").build());
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("s");
        }
    }

    @Nested
    class PlacementPolicies {
        private static final long VALID_MS = 3_000;

        @Test
        void areNotAskedAboutWorkersThere() {
            addWorkerInEachDomain();
            evacuate(NORTH, WEST);
            mFixture.submit("j", ADVISED, tasks(1, 1, 1_000));
            mFixture.runRound();
            assertThat(mFixture.scheduler.takeAdviceRequests().get(0).workers())
                    .containsExactly(new WorkerId("s"));
        }

        /** A ticket from before the evacuation is still valid for the policy's worker. */
        @Test
        void ticketThatWasIssuedBeforeIsNotUsed() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("j", ADVISED, tasks(1, 1, 1_000));
            mFixture.runRound();
            AdviceRequest request = mFixture.scheduler.takeAdviceRequests().get(0);
            evacuate(NORTH);
            mFixture.scheduler.onAdvice(
                    request, Map.of(new WorkerId("n"), "ticket"), VALID_MS, mFixture.nowMs);
            assertThat(starts(mFixture.runRound())).isEmpty();
            evacuate();
            assertThat(starts(mFixture.runRound())).hasSize(1);
        }
    }

    @Nested
    class OrdersUnderWay {
        /** Guards against a run that is left out by an evacuation that no longer stands. */
        @Test
        void runThatIsBeingSavedStartsIfTheEvacuationIsTakenBack() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("j", BULK, tasks(1, 1, 1_000));
            mFixture.runRound(false);
            evacuate(NORTH);
            evacuate();
            mFixture.saveAll();
            assertThat(starts(mFixture.scheduler.takeActions())).hasSize(1);
        }

        @Test
        void runThatIsBeingSavedStartsElsewhere() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("j", BULK, tasks(1, 1, 1_000));
            mFixture.runRound(false);
            evacuate(NORTH);
            mFixture.saveAll();
            assertThat(starts(mFixture.scheduler.takeActions())).isEmpty();
            mFixture.addWorker("s", "r2", SOUTH);
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("s");
        }

        @Test
        void gangThatIsBeingSavedDoesNotStartInPart() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.addWorker("s", "r1", SOUTH);
            mFixture.submit("j", BULK, gang(2, 8, 1_000, true));
            mFixture.runRound(false);
            evacuate(SOUTH);
            mFixture.saveAll();
            assertThat(mFixture.scheduler.takeActions()).isEmpty();
            assertThat(startsWithinAMinute()).isEmpty();
        }

        @Test
        void unansweredStartIsNotRepeated() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("j", BULK, tasks(1, 1, 1_000));
            JobAction.Start start = starts(mFixture.runRound()).get(0);
            evacuate(NORTH);
            mFixture.nowMs += 100;
            mFixture.scheduler.onStartAnswer(
                    start.worker(), start.run(), OrderAnswer.UNKNOWN, mFixture.nowMs);
            List<JobAction> actions = mFixture.runRound();
            assertThat(starts(actions)).isEmpty();
            assertThat(stops(actions)).hasSize(1);
        }
    }

    @Nested
    class RunsThere {
        @Test
        void continueToTheirEnd() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.addWorker("s", "r2", SOUTH);
            mFixture.submit("j", BULK, tasks(9, 1, 1_000));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            evacuate(NORTH, SOUTH);
            mFixture.nowMs += 1_000;
            assertThat(stops(mFixture.runRound())).isEmpty();
        }

        @Test
        void areNotReclaimedForAJobThatCannotStartThere() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("bulk", BULK, tasks(8, 1, 60_000));
            mFixture.acceptStarts(mFixture.runRound());
            evacuate(NORTH);
            mFixture.submit("urgent", URGENT, tasks(1, 8, 1_000));
            for (int i = 0; i < 20; i++) {
                mFixture.nowMs += 500;
                assertThat(stops(mFixture.runRound())).isEmpty();
            }
        }

        /** Resources that were reserved by preemption must not be used after the evacuation. */
        @Test
        void reservationMadeBeforeIsDropped() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("bulk", BULK, tasks(8, 1, 60_000));
            List<JobAction> bulk = mFixture.runRound();
            mFixture.acceptStarts(bulk);
            mFixture.submit("urgent", URGENT, tasks(1, 8, 1_000));
            mFixture.nowMs += 100;
            List<JobAction.Stop> stopped = stops(mFixture.runRound());
            assertThat(stopped).hasSize(8);
            evacuate(NORTH);
            mFixture.report(
                    "n",
                    List.of(),
                    stopped.stream()
                            .map(s -> ended(stopped.indexOf(s) + 1, s.run(), RunOutcome.STOPPED))
                            .toList());
            assertThat(starts(mFixture.runRound())).isEmpty();
        }

        /** Guards against a guaranteed job that waits for a place that it can no longer use. */
        @Test
        void reservationThereDoesNotKeepAJobFromReclaimingElsewhere() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.addWorker("s", "r2", SOUTH);
            mFixture.submit("bulk", BULK, tasks(16, 1, 60_000));
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.submit("urgent", URGENT, tasks(1, 8, 1_000));
            mFixture.nowMs += 100;
            boolean north = stops(mFixture.runRound()).get(0).worker().value().equals("n");
            evacuate(north ? NORTH : SOUTH);
            mFixture.nowMs += 100;
            assertThat(stops(mFixture.runRound()))
                    .extracting(stop -> stop.worker().value())
                    .contains(north ? "s" : "n");
        }

        /** A failed task of an evacuated domain is attempted in another one. */
        @Test
        void failedRunIsRepeatedElsewhere() {
            checkThatAFailedRunIsRepeatedElsewhere(tasks(1, 1, 1_000));
        }

        @Test
        void failedRunOfALongRunningTaskIsRepeatedElsewhere() {
            checkThatAFailedRunIsRepeatedElsewhere(step(1, 1, 1_000).longRunning().build());
        }

        private void checkThatAFailedRunIsRepeatedElsewhere(StepPlan plan) {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("j", BULK, plan);
            JobAction.Start start = starts(mFixture.runRound()).get(0);
            mFixture.acceptStarts(List.of(start));
            evacuate(NORTH);
            mFixture.nowMs += 500;
            mFixture.report("n", List.of(), List.of(ended(1, start.run(), RunOutcome.FAILED)));
            assertThat(starts(mFixture.runRound())).isEmpty();
            mFixture.addWorker("s", "r2", SOUTH);
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("s");
        }
    }

    /** Moves that count on a place in an evacuated domain would only lose work. */
    @Nested
    class Moves {
        private static final long NOTICE_MS = 4_000;

        @Test
        void gangLeavesASlowWorkerForAFreeOne() {
            assertThat(stopsOfAGangWithASlowMember()).hasSize(3);
        }

        @Test
        void gangDoesNotLeaveASlowWorkerForAnEvacuatedDomain() {
            assertThat(stopsOfAGangWithASlowMember(EAST)).isEmpty();
        }

        /** The member there could not start again beside the one that moves. */
        @Test
        void gangDoesNotLeaveASlowWorkerIfAnotherMemberIsInAnEvacuatedDomain() {
            assertThat(stopsOfAGangWithASlowMember(NORTH)).isEmpty();
        }

        @Test
        void runDoesNotLeaveADrainingWorkerForAnEvacuatedDomain() {
            mFixture.addWorker("n", "r1", NORTH);
            mFixture.submit("j", BULK, tasks(1, 8, 20_000));
            mFixture.acceptStarts(mFixture.runRound());
            mFixture.addWorker("s", "r2", SOUTH);
            evacuate(SOUTH);
            mFixture.scheduler.onWorkerEntry(
                    JobSchedulerFixture.drainingEntry("n", "r1", NOTICE_MS), mFixture.nowMs);
            assertThat(stops(mFixture.runRound())).isEmpty();
            evacuate();
            assertThat(stops(mFixture.runRound())).hasSize(1);
        }

        /** Returns which members are stopped while "w" is slow and "e" has room for one of them. */
        private Set<RunRef> stopsOfAGangWithASlowMember(FailureDomainId... evacuated) {
            addWorkerInEachDomain();
            mFixture.submit("j", URGENT, gang(3, 8, 3_300, false));
            List<JobAction> actions = mFixture.runRound();
            mFixture.acceptStarts(actions);
            mFixture.addWorker("e", "r4", EAST);
            evacuate(evacuated);
            Set<RunRef> stopped = new HashSet<>();
            for (int seconds = 1; seconds <= 2; seconds++) {
                mFixture.nowMs += 1_000;
                for (JobAction.Start start : starts(actions)) {
                    String worker = start.worker().value();
                    int percent = seconds * (worker.equals("w") ? 3 : 30);
                    mFixture.report(worker, List.of(running(start, percent)), List.of());
                }
                stops(mFixture.runRound()).forEach(stop -> stopped.add(stop.run()));
            }
            return stopped;
        }
    }

    @Nested
    class NextOwner {
        @Test
        void continuesTheRestoredRunAndStartsNothingBesideIt() {
            evacuate(NORTH);
            restoreRun();
            mFixture.report("n", List.of(new ActiveRun(RUN, "", 40, 0)), List.of());
            mFixture.submit("k", BULK, tasks(1, 1, 1_000));
            assertThat(mFixture.runRound()).isEmpty();
        }

        @Test
        void startsTheTaskOfAnEndedRunElsewhere() {
            evacuate(NORTH);
            restoreRun();
            mFixture.report("n", List.of(), List.of(ended(1, RUN, RunOutcome.STOPPED)));
            assertThat(mFixture.runRound()).isEmpty();
            mFixture.addWorker("s", "r2", SOUTH);
            assertThat(workersOf(starts(mFixture.runRound()))).containsExactly("s");
        }

        private void restoreRun() {
            TaskProgress progress =
                    new TaskProgress(
                            0,
                            0,
                            0,
                            1,
                            0,
                            0,
                            false,
                            new WorkerId("n"),
                            JobSchedulerFixture.INCARNATION,
                            "");
            mFixture.submit(
                    "j",
                    BULK,
                    new ProgressRecord(WorkState.ACTIVE, List.of(progress)),
                    tasks(1, 1, 1_000));
            mFixture.addWorkerEntry("n", "r1", NORTH);
        }
    }
}
