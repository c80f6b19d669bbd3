package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ADVISED;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.WorkerId;

/** Steps of queues with a placement policy. */
class AdviceRequesterTest {
    private static final long VALID_MS = 3_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    AdviceRequesterTest() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
    }

    /** Guards against a start without a ticket, which the worker refuses. */
    @Test
    void taskStartsOnlyWithATicket() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        assertThat(starts(mFixture.runRound())).isEmpty();
        answer(takeOnlyRequest(), Map.of("w2", "t2"));
        List<JobAction.Start> starts = starts(mFixture.runRound());
        assertThat(workersOf(starts)).containsExactly("w2");
        assertThat(starts.get(0).ticket()).isEqualTo("t2");
    }

    /** Guards against repeating the request every round, which would overload the policy. */
    @Test
    void stepHasAtMostOnePendingRequest() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.runRound();
        takeOnlyRequest();
        mFixture.runRound();
        assertThat(mScheduler.takeAdviceRequests()).isEmpty();
    }

    /** Guards against repeating a request about workers that the policy has refused for good. */
    @Test
    void refusedWorkersAreNotRequestedAgain() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.runRound();
        answer(takeOnlyRequest(), Map.of());
        mFixture.runRound();
        assertThat(mScheduler.takeAdviceRequests()).isEmpty();
        mFixture.addWorker("w3", "r1");
        mFixture.runRound();
        assertThat(takeOnlyRequest().workers()).containsExactly(new WorkerId("w3"));
    }

    /** Guards against a start with an expired ticket, which the worker refuses. */
    @Test
    void expiredTicketIsRenewedBeforeTheStart() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.runRound();
        answer(takeOnlyRequest(), Map.of("w2", "t2"));
        mFixture.nowMs += VALID_MS;
        assertThat(starts(mFixture.runRound())).isEmpty();
        AdviceRequest again = takeOnlyRequest();
        assertThat(again.workers()).containsExactly(new WorkerId("w2"));
        answer(again, Map.of("w2", "t3"));
        assertThat(starts(mFixture.runRound()))
                .extracting(JobAction.Start::ticket)
                .containsExactly("t3");
    }

    /** Guards against a step that waits forever after a request without an answer. */
    @Test
    void unansweredRequestIsRepeated() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.runRound();
        mScheduler.onAdvice(takeOnlyRequest(), null, 0, mFixture.nowMs);
        mFixture.runRound();
        assertThat(mScheduler.takeAdviceRequests()).isEmpty();
        mFixture.nowMs += 400;
        mFixture.runRound();
        takeOnlyRequest();
    }

    /** Guards against backing off from a worker because it rejected a ticket. */
    @Test
    void rejectedTicketIsReplaced() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.runRound();
        answer(takeOnlyRequest(), Map.of("w2", "t2"));
        JobAction.Start start = starts(mFixture.runRound()).get(0);
        mScheduler.onStartAnswer(
                start.worker(), start.run(), OrderAnswer.BAD_TICKET, mFixture.nowMs);
        assertThat(stops(mScheduler.takeActions())).isEmpty();
        mFixture.runRound();
        assertThat(takeOnlyRequest().workers()).contains(new WorkerId("w2"));
    }

    /**
     * Guards against filling the policy's queue, and so having all calls refused, with many steps.
     */
    @Test
    void pendingRequestsAreBounded() {
        for (int i = 0; i < 20; i++) {
            mFixture.submit("j" + i, ADVISED, step(1, 1, 1_000).build());
        }
        mFixture.runRound();
        assertThat(mScheduler.takeAdviceRequests()).hasSize(2);
    }

    /**
     * Guards against a step that gets no answer in time because the policy, which handles requests
     * one by one, is busy with gangs of a better rank that do not fit.
     */
    @Test
    void gangsThatDoNotFitLeaveTheirTurnToOtherSteps() {
        for (int i = 0; i < 240; i++) {
            mFixture.addWorker("x" + i, "r" + i / 20);
        }
        for (int i = 0; i < 4; i++) {
            mFixture.submit("gang" + i, ADVISED, step(300, 8, 1_000).gang().build());
        }
        mFixture.submit("j1", ADVISED, step(1, 8, 60_000).build());
        List<JobAction.Start> starts = List.of();
        Deque<AdviceRequest> queued = new ArrayDeque<>();
        for (int i = 0; i < 15 && starts.isEmpty(); i++) {
            starts = starts(mFixture.runRound());
            queued.addAll(mScheduler.takeAdviceRequests());
            // 30 workers take 170 ms.
            mFixture.nowMs += 200;
            if (!queued.isEmpty()) {
                Map<String, String> all = new HashMap<>();
                queued.peek().workers().forEach(w -> all.put(w.value(), "t"));
                answer(queued.poll(), all);
            }
        }
        assertThat(starts).hasSize(1);
    }

    private AdviceRequest takeOnlyRequest() {
        List<AdviceRequest> requests = mScheduler.takeAdviceRequests();
        assertThat(requests).hasSize(1);
        return requests.get(0);
    }

    private void answer(AdviceRequest request, Map<String, String> tickets) {
        Map<WorkerId, String> byId = new HashMap<>();
        tickets.forEach((worker, ticket) -> byId.put(new WorkerId(worker), ticket));
        mScheduler.onAdvice(request, byId, VALID_MS, mFixture.nowMs);
    }
}
