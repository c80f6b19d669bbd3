package org.lycheeroad.coordination.admission;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.admission.Admission.Reason;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.ServiceLoad.CommittedWork;
import org.lycheeroad.state.work.ServiceLoad.TeamLoad;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.StepPlan;

/**
 * Guards against refusals of jobs that could still be served, and against jobs that are accepted
 * behind a backlog that leaves them no chance.
 *
 * <p>A job of 1 s has an objective of 2 s and is useful up to 6 s. Were it to take 2 s, it would be
 * useful up to 9 s and had to start within 7 s.
 */
class AdmissionPolicyTest {
    private static final TeamId BUSY_TEAM = new TeamId("busy");
    private static final TeamId OTHER_TEAM = new TeamId("other");
    private static final ServiceName SERVICE = new ServiceName("service");
    private static final Resources ROOM = new Resources(100_000, 100_000, 100);
    private static final Resources NEED = new Resources(1_000, 1_000, 1);

    @Test
    void jobBehindABacklogPastItsLastUsefulStartIsRefused() {
        Admission admission = decide(job(1, 1), load(work(1, 9_000, 14_100)));
        assertThat(admission.reason()).isEqualTo(Reason.NO_ROOM_IN_TIME);
        assertThat(admission.retryAfterSeconds()).isBetween(1, 4);
    }

    /** The backlog may take half as long as estimated. */
    @Test
    void jobThatMayEndLateButUsefullyIsAccepted() {
        assertThat(decide(job(1, 1), load(work(1, 9_000, 14_000))).reason())
                .isEqualTo(Reason.MAY_END_USEFULLY);
    }

    @Test
    void cheaperWorkAndWorkThatCanWaitDoNotCount() {
        assertThat(decide(job(1, 1), load(work(2, 9_000, 60_000))).isRefused()).isFalse();
        assertThat(decide(job(1, 1), load(work(1, 9_001, 60_000))).isRefused()).isFalse();
        assertThat(decide(job(2, 1), load(work(1, 9_000, 60_000))).isRefused()).isTrue();
    }

    /** Resources that are needed side by side must not be added up. */
    @Test
    void onlyTheScarcestResourceCounts() {
        ServiceLoad load =
                load(
                        new CommittedWork(1, 5_000, 10_000, 1_000, 0),
                        new CommittedWork(0, 5_000, 1_000, 10_000, 0));
        assertThat(decide(job(1, 1), load).isRefused()).isFalse();
    }

    @Test
    void workAcceptedSinceTheSummaryCounts() {
        KnownLoad known =
                new KnownLoad(load(work(1, 5_000, 10_000)), 1, 0, List.of(work(1, 5_000, 10_000)));
        assertThat(AdmissionPolicy.decide(job(1, 1), known).isRefused()).isTrue();
    }

    @Test
    void oldSummaryIsNoReasonToRefuse() {
        ServiceLoad load = load(work(0, 5_000, 90_000));
        assertThat(decide(job(1, 1), load, AdmissionPolicy.MAX_LOAD_AGE_MS).isRefused()).isTrue();
        assertThat(decide(job(1, 1), load, AdmissionPolicy.MAX_LOAD_AGE_MS + 1).reason())
                .isEqualTo(Reason.LOAD_UNKNOWN);
    }

    @Test
    void workDoneSinceTheSummaryNoLongerCounts() {
        ServiceLoad load = load(work(1, 9_000, 15_000));
        assertThat(decide(job(1, 1), load).isRefused()).isTrue();
        assertThat(decide(job(1, 1), load, 1_500).isRefused()).isFalse();
    }

    @Test
    void urgentJobWithinItsTeamsGuaranteeIsAccepted() {
        ServiceLoad load = load(work(0, 5_000, 90_000));
        assertThat(decide(job(0, 4), load).reason()).isEqualTo(Reason.WITHIN_GUARANTEE);
        assertThat(decide(job(0, 5), load).isRefused()).isTrue();
    }

    @Test
    void jobIsNotRefusedWhileAWorkerHasRoomForIt() {
        ServiceLoad load =
                new ServiceLoad(
                        SERVICE,
                        ROOM,
                        List.of(NEED),
                        List.of(work(0, 5_000, 90_000)),
                        List.of(new TeamLoad(BUSY_TEAM, 0.9, 6)));
        assertThat(decide(job(1, 1), load).reason()).isEqualTo(Reason.FREE_ROOM);
    }

    @Test
    void teamBelowItsEqualPartIsAccepted() {
        ServiceLoad load =
                load(
                        List.of(new TeamLoad(BUSY_TEAM, 0.4, 6), new TeamLoad(OTHER_TEAM, 0.6, 0)),
                        work(0, 5_000, 90_000));
        assertThat(decide(job(1, 1), load).reason()).isEqualTo(Reason.UNDER_FAIR_SHARE);
    }

    @Test
    void timedLongRunningAndUnknownJobsAreAccepted() {
        ServiceLoad load = load(work(0, 5_000, 90_000));
        StepPlan step = StepPlan.unconstrained(1, NEED, 1_000);
        JobPlan timed = new JobPlan("", List.of(step), 2, 5_000, 1_000);
        JobPlan unknown = plan(StepPlan.unconstrained(1, NEED, 0));
        assertThat(decide(request(1, timed, 1), load).reason()).isEqualTo(Reason.EXEMPT);
        assertThat(decide(request(1, unknown, 1), load).reason()).isEqualTo(Reason.EXEMPT);
    }

    /** Callers that return together would only be refused together. */
    @Test
    void returnsAreSpreadAndFollowPriorityAndWork() {
        ServiceLoad load = load(work(0, 5_000, 16_000));
        long times =
                List.of(1, 2, 3, 4, 5, 6, 7, 8).stream()
                        .map(id -> decide(request(1, oneTask(), id), load).retryAfterSeconds())
                        .distinct()
                        .count();
        assertThat(times).isGreaterThan(1);
        ServiceLoad fullForLong = load(work(0, 5_000, 900_000));
        assertThat(decide(job(3, 500), fullForLong).retryAfterSeconds()).isBetween(1, 3);
        assertThat(decide(job(3, 1), load).retryAfterSeconds())
                .isGreaterThanOrEqualTo(decide(job(1, 1), load).retryAfterSeconds());
        assertThat(decide(job(1, 500), load).retryAfterSeconds())
                .isGreaterThanOrEqualTo(decide(job(1, 1), load).retryAfterSeconds());
    }

    private static Admission decide(AdmissionRequest job, ServiceLoad load) {
        return decide(job, load, 0);
    }

    private static Admission decide(AdmissionRequest job, ServiceLoad load, long ageMs) {
        return AdmissionPolicy.decide(job, new KnownLoad(load, 1, ageMs, List.of()));
    }

    private static AdmissionRequest job(int priority, int tasks) {
        return request(priority, plan(StepPlan.unconstrained(tasks, NEED, 1_000)), 1);
    }

    private static AdmissionRequest request(int priority, JobPlan plan, int id) {
        QueueConfig queue =
                new QueueConfig(
                        new QueueName("q"), "h", "/", SERVICE, priority, 3, 1, 1_000, false, null);
        return new AdmissionRequest(
                new JobId(String.format("%016x", id)), BUSY_TEAM, 10, queue, plan, 3_000);
    }

    private static JobPlan oneTask() {
        return plan(StepPlan.unconstrained(1, NEED, 1_000));
    }

    private static JobPlan plan(StepPlan step) {
        return new JobPlan("", List.of(step), 0, 0, 0);
    }

    private static CommittedWork work(int priority, long endsInMs, long ms) {
        return new CommittedWork(priority, endsInMs, 0, 0, ms);
    }

    private static ServiceLoad load(CommittedWork... work) {
        return load(List.of(new TeamLoad(BUSY_TEAM, 1, 6)), work);
    }

    private static ServiceLoad load(List<TeamLoad> teams, CommittedWork... work) {
        return new ServiceLoad(SERVICE, ROOM, List.of(), List.of(work), teams);
    }
}
