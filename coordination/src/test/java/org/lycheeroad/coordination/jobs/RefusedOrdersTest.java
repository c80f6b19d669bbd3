package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.running;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.starts;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.stops;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.workersOf;
import static org.lycheeroad.coordination.jobs.StepBuilder.step;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Workers that refuse orders for some time.
 *
 * <p>Guards against gangs that wait without end for stops of runs that never started, on workers
 * that refuse the stops too (found on drawn day fresh-f951 of site fcvf-grown).
 */
class RefusedOrdersTest {
    private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
    private final JobScheduler mScheduler = mFixture.scheduler;

    RefusedOrdersTest() {
        mFixture.addWorker("w1", "r1");
    }

    /** Guards against delaying a task by the stop of a run that certainly never started. */
    @Test
    void refusedStartNeedsNoStop() {
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
        JobAction.Start start = starts(mFixture.runRound()).get(0);
        mFixture.addWorker("w2", "r1");
        answer(start, OrderAnswer.UNHEALTHY);
        List<JobAction> next = mFixture.runRound();
        assertThat(stops(next)).isEmpty();
        assertThat(workersOf(starts(next))).containsExactly("w2");
    }

    /** Guards against an earlier, unanswered start order that arrives after a later refused one. */
    @Test
    void startRefusedAfterAnUnansweredCopyIsStopped() {
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
        JobAction.Start start = starts(mFixture.runRound()).get(0);
        answer(start, OrderAnswer.UNKNOWN);
        answer(start, OrderAnswer.UNHEALTHY);
        assertThat(stops(mScheduler.takeActions())).hasSize(1);
        mFixture.addWorker("w2", "r1");
        assertThat(starts(mFixture.runRound())).isEmpty();
    }

    /** Guards against holding a task for as long as its worker refuses all stops. */
    @Test
    void startedRunIsOverOnceItIsNotReported() {
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
        JobAction.Start start = starts(mFixture.runRound()).get(0);
        answer(start, OrderAnswer.ACCEPTED);
        mFixture.report("w1", List.of(running(start, 0)), List.of());
        mFixture.nowMs += 4_000;
        mFixture.report("w1", List.of(running(start, 0)), List.of());
        JobAction.Stop stop = stops(mFixture.runRound()).get(0);
        mScheduler.onStopAnswer(stop.worker(), stop.run(), OrderAnswer.UNHEALTHY, mFixture.nowMs);
        mFixture.nowMs += 10;
        mFixture.report("w1", List.of(), List.of());
        assertThat(starts(mFixture.runRound()))
                .extracting(s -> s.run().attempt())
                .containsExactly(2);
    }

    /** Start orders carry an expiry time, after which a late one cannot take effect. */
    @Test
    void unansweredStartIsOverOnceItsOrderHasExpired() {
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
        JobAction.Start start = starts(mFixture.runRound()).get(0);
        answer(start, OrderAnswer.UNKNOWN);
        assertThat(starts(mScheduler.takeActions())).containsExactly(start);
        mFixture.nowMs += 2_000;
        answer(start, OrderAnswer.UNKNOWN);
        mFixture.report("w1", List.of(), List.of());
        assertThat(starts(mFixture.runRound())).isEmpty();
        mFixture.nowMs += JobSchedulerFixture.SETTINGS.orderExpiryMs() + 1;
        mFixture.report("w1", List.of(), List.of());
        assertThat(starts(mFixture.runRound()))
                .extracting(s -> s.run().attempt())
                .containsExactly(2);
    }

    /** Guards against a gang that retries a refusing worker every half second and never starts. */
    @Test
    void startsOnARefusingWorkerBackOff() {
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
        int attempts = 0;
        for (int i = 0; i < 100; i++) {
            for (JobAction.Start start : starts(mFixture.runRound())) {
                attempts++;
                answer(start, OrderAnswer.UNHEALTHY);
            }
            mFixture.nowMs += 100;
        }
        assertThat(attempts).isBetween(3, 6);
    }

    /** Guards against barring a worker for 8 s by starts that it refuses together. */
    @Test
    void startsRefusedTogetherBackOffOnce() {
        mFixture.submit("j1", BULK, step(8, 1, 1_000).build());
        starts(mFixture.runRound()).forEach(start -> answer(start, OrderAnswer.UNHEALTHY));
        mFixture.nowMs += 501;
        assertThat(starts(mFixture.runRound())).hasSize(8);
    }

    /** Guards against barring a sound worker for seconds by starts that were never sent to it. */
    @Test
    void startsThatWereNotSentDoNotBackOffLonger() {
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
        for (int i = 0; i < 5; i++) {
            answer(starts(mFixture.runRound()).get(0), OrderAnswer.EXPIRED);
            mFixture.nowMs += 501;
        }
        assertThat(starts(mFixture.runRound())).hasSize(1);
    }

    /** Guards against a job that waits for 8 s beside a worker that is healthy again. */
    @Test
    void workerThatIsHealthyAgainGetsAStartWithinThreeSeconds() {
        mFixture.submit("j1", BULK, step(1, 1, 1_000).build());
        for (int i = 0; i < 200; i++) {
            starts(mFixture.runRound()).forEach(start -> answer(start, OrderAnswer.UNHEALTHY));
            mFixture.nowMs += 100;
        }
        int rounds = 0;
        while (starts(mFixture.runRound()).isEmpty()) {
            mFixture.nowMs += 100;
            rounds++;
        }
        assertThat(rounds).isLessThan(30);
    }

    /** Guards against gang starts that fail because workers go down and up in turn. */
    @Test
    void gangAvoidsWorkersWithoutARecentHeartbeat() {
        mFixture.addWorker("w2", "r1");
        mFixture.nowMs += 5_000;
        mFixture.addWorker("w3", "r1");
        mFixture.addWorker("w4", "r1");
        mFixture.submit("j1", BULK, step(2, 8, 1_000).gang().build());
        assertThat(workersOf(starts(mFixture.runRound()))).containsExactlyInAnyOrder("w3", "w4");
    }

    private void answer(JobAction.Start start, OrderAnswer answer) {
        mScheduler.onStartAnswer(start.worker(), start.run(), answer, mFixture.nowMs);
    }
}
