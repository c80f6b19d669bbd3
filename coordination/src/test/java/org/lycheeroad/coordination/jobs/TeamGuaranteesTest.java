package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.OTHER_TEAM;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.TEAM;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ended;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.StepPlan;

/**
 * Two teams with 16 guaranteed accelerators each, on four workers with 8 accelerators. One team's
 * job takes all of them.
 */
class TeamGuaranteesTest {
    private static final int WORKERS = 4;

    /** Until the bound on the start of a guaranteed job, less the time of a stop and a start. */
    private static final long WAIT_MS = 1_500;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private long mLastEndNumber;

    TeamGuaranteesTest() {
        for (int i = 1; i <= WORKERS; i++) {
            mFixture.addWorker("w" + i, "r1");
        }
    }

    @Nested
    class UrgentBorrowers {
        /** Guards against a guaranteed job that never starts because urgent work has borrowed. */
        @Test
        void runIsStoppedForAGuaranteedJobOfAnotherTeam() {
            borrow(URGENT, TEAM, step(4, 8, 2_000).longRunning().build());
            submit("owner", OTHER_TEAM, step(1, 8, 2_000).build());
            List<JobAction.Stop> stops = stopsWithinTheBound();
            assertThat(stops)
                    .extracting(JobAction.Stop::reason)
                    .containsExactly(StopReason.RECLAIMED);
            String freed = stops.get(0).worker().value();
            endStoppedRuns(stops);
            List<JobAction.Start> starts = starts(mFixture.runRound());
            assertThat(starts)
                    .extracting(s -> s.run().task().job().value())
                    .containsExactly("owner");
            assertThat(workersOf(starts)).containsExactly(freed);
        }

        /** Guards against a gang that runs in part after one member was stopped for the owner. */
        @Test
        void gangIsStoppedAsAWhole() {
            borrow(URGENT, TEAM, step(4, 8, 60_000).gang().build());
            submit("owner", OTHER_TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).hasSize(4);
        }

        /** Guards against taking back more than the owner's job needs. */
        @Test
        void onlyTheNeededRunsAreStopped() {
            borrow(URGENT, TEAM, step(4, 8, 60_000).build());
            submit("owner", OTHER_TEAM, step(2, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).hasSize(2);
        }

        /** Guards against stopping urgent work where work of lower priority suffices. */
        @Test
        void runsOfLowerPriorityAreStoppedFirst() {
            borrow(URGENT, TEAM, step(3, 8, 60_000).build());
            mFixture.submit("bulk", BULK, step(1, 8, 60_000).build());
            startAll();
            submit("owner", OTHER_TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound())
                    .extracting(s -> s.run().task().job().value())
                    .containsExactly("bulk");
        }

        /** Guards against taking back what a team has within its own guarantee. */
        @Test
        void runsWithinTheGuaranteeContinue() {
            borrow(URGENT, TEAM, step(2, 8, 60_000).build());
            submit("owner", OTHER_TEAM, step(2, 8, 60_000).build());
            startAll();
            submit("more", OTHER_TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).isEmpty();
        }

        /** Guards against a job beyond its own guarantee that takes from another team. */
        @Test
        void jobBeyondItsGuaranteeDoesNotReclaim() {
            borrow(URGENT, TEAM, step(4, 8, 60_000).build());
            submit("big", OTHER_TEAM, step(3, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).isEmpty();
        }

        /** Guards against a team's new job that stops the older work of the same team. */
        @Test
        void runsOfTheSameTeamContinue() {
            borrow(URGENT, TEAM, step(4, 8, 60_000).build());
            submit("newer", TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).isEmpty();
        }
    }

    @Nested
    class StepsThatMayMissTasks {
        /** Guards against long-running tasks that keep guaranteed accelerators for good. */
        @Test
        void taskThatMayBeAwayIsStopped() {
            borrow(BULK, TEAM, step(4, 8, 2_000).mayMiss(1).build());
            submit("owner", OTHER_TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).hasSize(1);
        }

        /** Guards against stopping more tasks of a step than may be away, also in one round. */
        @Test
        void noMoreTasksThanMayBeAwayAreStopped() {
            borrow(BULK, TEAM, step(4, 8, 2_000).mayMiss(1).build());
            submit("owner", OTHER_TEAM, step(2, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).isEmpty();
        }

        /** Guards against stopping a task while another one is starting up. */
        @Test
        void tasksThatStartUpCountAsAway() {
            mFixture.submit("borrower", BULK, step(4, 8, 2_000).mayMiss(1).build());
            startAll(Map.of("w1", 50));
            submit("owner", OTHER_TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).isEmpty();
        }

        /** Guards against stopping a task while another one may have been lost with its worker. */
        @Test
        void taskOnASilentWorkerCountsAsAway() {
            borrow(BULK, TEAM, step(4, 8, 2_000).mayMiss(1).build());
            mFixture.scheduler.onWorkerUnresponsive(new WorkerId("w1"));
            submit("owner", OTHER_TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound()).isEmpty();
        }
    }

    @Nested
    class OrderOfJobs {
        /**
         * Guards against a takeover that changes which job is within the guarantee, as the store
         * lists jobs by id.
         */
        @Test
        void olderJobIsGuaranteedInWhicheverOrderJobsAreLoaded() {
            submit("a-newer", TEAM, 2_000, step(2, 8, 60_000).build());
            submit("b-older", TEAM, 1_000, step(2, 8, 60_000).build());
            startAll();
            submit("owner", OTHER_TEAM, step(1, 8, 2_000).build());
            assertThat(stopsWithinTheBound())
                    .extracting(s -> s.run().task().job().value())
                    .containsExactly("a-newer");
        }
    }

    /** Submits a job and starts all its tasks. */
    private void borrow(QueueName queue, TeamId team, StepPlan plan) {
        mFixture.submit("borrower", queue, team, mFixture.nowMs, plan);
        startAll();
    }

    private void submit(String job, TeamId team, StepPlan plan) {
        submit(job, team, mFixture.nowMs, plan);
    }

    private void submit(String job, TeamId team, long acceptedAtMs, StepPlan plan) {
        mFixture.submit(job, URGENT, team, acceptedAtMs, plan);
    }

    private void startAll() {
        startAll(Map.of());
    }

    /**
     * Starts all tasks that fit, and reports the progress of each worker's run, 100% if not given.
     */
    private void startAll(Map<String, Integer> percents) {
        List<JobAction> actions = mFixture.runRound();
        mFixture.acceptStarts(actions);
        for (JobAction.Start start : starts(actions)) {
            String worker = start.worker().value();
            int percent = percents.getOrDefault(worker, 100);
            mFixture.report(worker, List.of(running(start, percent)), List.of());
        }
    }

    /**
     * Runs rounds until shortly before a guaranteed job has to start, and returns the stops without
     * repetitions.
     */
    private List<JobAction.Stop> stopsWithinTheBound() {
        Set<JobAction.Stop> stops = new LinkedHashSet<>(stops(mFixture.runRound()));
        mFixture.nowMs += WAIT_MS;
        stops.addAll(stops(mFixture.runRound()));
        return List.copyOf(stops);
    }

    private void endStoppedRuns(List<JobAction.Stop> stops) {
        for (JobAction.Stop stop : stops) {
            mFixture.report(
                    stop.worker().value(),
                    List.of(),
                    List.of(ended(++mLastEndNumber, stop.run(), RunOutcome.STOPPED)));
        }
    }
}
