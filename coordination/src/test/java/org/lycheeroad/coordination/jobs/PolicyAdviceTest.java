package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ADVISED;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.WorkerId;

/** Queues whose placement policy allows only some workers. */
class PolicyAdviceTest {
    private static final long VALID_MS = 3_000;

    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    PolicyAdviceTest() {
        mFixture.addWorker("w1", "r1");
        mFixture.addWorker("w2", "r1");
    }

    /** A start without a ticket is refused by the worker. */
    @Test
    void taskStartsOnlyWithATicket() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        assertThat(starts(mFixture.round())).isEmpty();
        answer(onlyQuestion(), Map.of("w2", "t2"));
        List<JobAction.Start> starts = starts(mFixture.round());
        assertThat(workersOf(starts)).containsExactly("w2");
        assertThat(starts.get(0).ticket()).isEqualTo("t2");
    }

    /** A policy that is asked again for each round never gets to the end of its queue. */
    @Test
    void stepIsAskedAboutOnceAtATime() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.round();
        onlyQuestion();
        mFixture.round();
        assertThat(mScheduler.takeAdviceRequests()).isEmpty();
    }

    /** A refusal stands for good; asking again wastes the policy's time. */
    @Test
    void refusedWorkersAreNotAskedAboutAgain() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.round();
        answer(onlyQuestion(), Map.of());
        mFixture.round();
        assertThat(mScheduler.takeAdviceRequests()).isEmpty();
        mFixture.addWorker("w3", "r1");
        mFixture.round();
        assertThat(onlyQuestion().workers()).containsExactly(new WorkerId("w3"));
    }

    /** A ticket that has run out is refused by the worker. */
    @Test
    void ticketIsRenewedBeforeItIsUsed() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.round();
        answer(onlyQuestion(), Map.of("w2", "t2"));
        mFixture.now += VALID_MS;
        assertThat(starts(mFixture.round())).isEmpty();
        AdviceRequest again = onlyQuestion();
        assertThat(again.workers()).containsExactly(new WorkerId("w2"));
        answer(again, Map.of("w2", "t3"));
        assertThat(starts(mFixture.round()))
                .extracting(JobAction.Start::ticket)
                .containsExactly("t3");
    }

    /** A policy without an answer must not hold the step for ever. */
    @Test
    void stepIsAskedAboutAgainWithoutAnAnswer() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.round();
        mScheduler.onAdvice(onlyQuestion(), null, 0, mFixture.now);
        mFixture.round();
        assertThat(mScheduler.takeAdviceRequests()).isEmpty();
        mFixture.now += 400;
        mFixture.round();
        onlyQuestion();
    }

    /** A start refused for its ticket says nothing about the worker's health. */
    @Test
    void refusedTicketIsReplaced() {
        mFixture.submit("j1", ADVISED, step(1, 1, 1_000).build());
        mFixture.round();
        answer(onlyQuestion(), Map.of("w2", "t2"));
        JobAction.Start start = starts(mFixture.round()).get(0);
        mScheduler.onStartAnswer(start.worker(), start.run(), OrderAnswer.BAD_TICKET, mFixture.now);
        assertThat(stops(mScheduler.takeActions())).isEmpty();
        mFixture.round();
        assertThat(onlyQuestion().workers()).contains(new WorkerId("w2"));
    }

    /** Pattern: many steps wait at once; a policy with a full queue refuses all calls. */
    @Test
    void fewQuestionsAreUnderWay() {
        for (int i = 0; i < 20; i++) {
            mFixture.submit("j" + i, ADVISED, step(1, 1, 1_000).build());
        }
        mFixture.round();
        assertThat(mScheduler.takeAdviceRequests()).hasSize(2);
    }

    private AdviceRequest onlyQuestion() {
        List<AdviceRequest> questions = mScheduler.takeAdviceRequests();
        assertThat(questions).hasSize(1);
        return questions.get(0);
    }

    private void answer(AdviceRequest question, Map<String, String> tickets) {
        Map<WorkerId, String> byId = new HashMap<>();
        tickets.forEach((worker, ticket) -> byId.put(new WorkerId(worker), ticket));
        mScheduler.onAdvice(question, byId, VALID_MS, mFixture.now);
    }
}
