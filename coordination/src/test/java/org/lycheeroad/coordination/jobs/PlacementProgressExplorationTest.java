package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.ADVISED;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.BULK;
import static org.lycheeroad.coordination.jobs.JobSchedulerFixture.URGENT;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.RunOutcome;
import org.lycheeroad.state.work.RunRef;
import org.lycheeroad.state.work.StepPlan;
import org.lycheeroad.state.work.TaskRef;
import org.lycheeroad.state.work.WorkerRuns.ActiveRun;
import org.lycheeroad.state.work.WorkerRuns.EndedRun;

/** Random steps on sound workers start within 3 s beside room for them twice over. */
class PlacementProgressExplorationTest {
    private static final int SEEDS = 60;
    private static final long BOUND_MS = 3_000;
    private static final long TICK_MS = 100;
    private static final int RACKS = 6;
    private static final int WORKERS = 36;
    private static final Resources CAPACITY = new Resources(16_000, 32_000, 8);

    /** Guards against waits beside idle workers for a rack, a reservation or a policy. */
    @Test
    void stepsStartBesideRoomForThem() {
        List<String> violations = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            violations.addAll(new Simulation(seed).run());
        }
        assertThat(violations).isEmpty();
    }

    private static final class SimulatedRun {
        private final RunRef mRef;
        private final StepPlan mPlan;
        private final long mStartedAtMs;
        private long mEndsAtMs;
        private boolean mStopping;

        SimulatedRun(RunRef ref, StepPlan plan, long startedAtMs, long endsAtMs) {
            mRef = ref;
            mPlan = plan;
            mStartedAtMs = startedAtMs;
            mEndsAtMs = endsAtMs;
        }

        int percent(long nowMs) {
            return mPlan.longRunning()
                    ? 100
                    : (int) Math.min(99, 100 * (nowMs - mStartedAtMs) / mPlan.estimateMs());
        }
    }

    private static final class SimulatedJob {
        private final String mId;
        private final QueueName mQueue;
        private final StepPlan mPlan;
        private final boolean[] mDone;
        private long mRoomSinceMs = -1;

        SimulatedJob(String id, QueueName queue, StepPlan plan) {
            mId = id;
            mQueue = queue;
            mPlan = plan;
            mDone = new boolean[plan.count()];
        }
    }

    private static final class Simulation {
        private final JobSchedulerFixture mFixture = new JobSchedulerFixture();
        private final JobScheduler mScheduler = mFixture.scheduler;
        private final int mSeed;
        private final Random mRandom;
        private final Map<String, Map<TaskRef, SimulatedRun>> mRuns = new LinkedHashMap<>();
        private final Map<String, Long> mEndNumbers = new HashMap<>();
        private final Map<String, SimulatedJob> mJobs = new LinkedHashMap<>();
        private final Deque<AdviceRequest> mRequests = new ArrayDeque<>();
        private final List<String> mViolations = new ArrayList<>();
        private long mPolicyFreeAtMs;

        Simulation(int seed) {
            mSeed = seed;
            mRandom = new Random(seed);
            for (int i = 0; i < WORKERS; i++) {
                mFixture.addWorkerWithLabel("w" + i, "r" + i % RACKS, "kind" + i % 7);
                mRuns.put("w" + i, new LinkedHashMap<>());
            }
        }

        List<String> run() {
            long beginMs = mFixture.nowMs;
            while (mFixture.nowMs < beginMs + 40_000) {
                if (mFixture.nowMs < beginMs + 20_000 && mRandom.nextInt(5) == 0) {
                    submit("j" + mJobs.size());
                }
                mRuns.forEach(this::report);
                mFixture.runRound().forEach(this::carryOut);
                mRequests.addAll(mScheduler.takeAdviceRequests());
                answerRequest();
                mJobs.values().forEach(this::check);
                mFixture.nowMs += TICK_MS;
            }
            return mViolations;
        }

        private void submit(String id) {
            int accelerators = List.of(0, 1, 2, 4, 8, 8).get(mRandom.nextInt(6));
            boolean lasting = mRandom.nextInt(10) == 0;
            int count = mRandom.nextInt(12) == 0 ? 40 : 1 + mRandom.nextInt(8);
            StepPlan plan =
                    new StepPlan(
                            lasting ? 2 : count,
                            new Resources(
                                    100 + 1_900 * accelerators,
                                    100 + 3_800 * accelerators,
                                    accelerators),
                            500 + mRandom.nextInt(mRandom.nextBoolean() ? 3_000 : 20_000),
                            List.of(),
                            mRandom.nextBoolean(),
                            mRandom.nextBoolean(),
                            mRandom.nextInt(5) == 0 ? "kind1" : "",
                            mRandom.nextInt(3) == 0 ? "r" + mRandom.nextInt(RACKS) : "",
                            mRandom.nextInt(4) == 0 ? 1 : 0,
                            mRandom.nextBoolean(),
                            false,
                            lasting,
                            false,
                            0,
                            0,
                            "");
            QueueName queue = List.of(URGENT, BULK, ADVISED).get(mRandom.nextInt(3));
            mJobs.put(id, new SimulatedJob(id, queue, plan));
            TeamId team = mRandom.nextInt(3) == 0 ? JobSchedulerFixture.TEAM : new TeamId("free");
            mFixture.submit(id, queue, team, mFixture.nowMs, plan);
        }

        private void report(String worker, Map<TaskRef, SimulatedRun> runs) {
            List<EndedRun> ended = new ArrayList<>();
            for (SimulatedRun run : List.copyOf(runs.values())) {
                if (run.mEndsAtMs <= mFixture.nowMs) {
                    runs.remove(run.mRef.task());
                    boolean done = !run.mStopping && !run.mPlan.longRunning();
                    long number = mEndNumbers.merge(worker, 1L, Long::sum);
                    RunOutcome how = done ? RunOutcome.DONE : RunOutcome.STOPPED;
                    ended.add(JobSchedulerFixture.ended(number, run.mRef, how));
                    boolean[] tasks = mJobs.get(run.mRef.task().job().value()).mDone;
                    tasks[run.mRef.task().index()] |= done;
                    if (done && run.mPlan.gang()) {
                        Arrays.fill(tasks, true);
                    }
                }
            }
            List<ActiveRun> running = new ArrayList<>();
            for (SimulatedRun run : runs.values()) {
                running.add(new ActiveRun(run.mRef, "", run.percent(mFixture.nowMs), 0));
            }
            mFixture.report(worker, running, ended);
        }

        private void carryOut(JobAction action) {
            Map<TaskRef, SimulatedRun> runs = mRuns.get(action.worker().value());
            if (action instanceof JobAction.Start start) {
                StepPlan plan = mJobs.get(start.run().task().job().value()).mPlan;
                long durationMs =
                        plan.longRunning() ? 3_000 + mRandom.nextInt(30_000) : plan.estimateMs();
                runs.put(
                        start.run().task(),
                        new SimulatedRun(
                                start.run(), plan, mFixture.nowMs, mFixture.nowMs + durationMs));
                mFixture.acceptStarts(List.of(start));
            } else if (action instanceof JobAction.Stop stop) {
                SimulatedRun run = runs.get(stop.run().task());
                if (run != null) {
                    run.mStopping = true;
                    run.mEndsAtMs = Math.min(run.mEndsAtMs, mFixture.nowMs + 300);
                }
                mScheduler.onStopAnswer(
                        stop.worker(), stop.run(), OrderAnswer.ACCEPTED, mFixture.nowMs);
            }
        }

        /** Answers one request at a time, after 20 ms and 5 ms for each worker. */
        private void answerRequest() {
            if (mRequests.isEmpty() || mPolicyFreeAtMs > mFixture.nowMs) {
                return;
            }
            AdviceRequest request = mRequests.poll();
            mPolicyFreeAtMs = mFixture.nowMs + 20 + 5L * request.workers().size();
            Map<WorkerId, String> tickets = new HashMap<>();
            for (WorkerId worker : request.workers()) {
                if (mayUse(mJobs.get(request.job().value()), worker.value())) {
                    tickets.put(worker, "ticket");
                }
            }
            mScheduler.onAdvice(request, tickets, 3_000, mFixture.nowMs);
        }

        private boolean mayUse(SimulatedJob job, String worker) {
            int number = Integer.parseInt(worker.substring(1));
            String label = job.mPlan.requiredLabel();
            boolean refused =
                    job.mQueue.equals(ADVISED)
                            && new Random((job.mId + worker).hashCode()).nextInt(10) < 4;
            return !refused && (label.isEmpty() || label.equals("kind" + number % 7));
        }

        private void check(SimulatedJob job) {
            Resources used = Resources.NONE;
            int running = 0;
            int fitting = 0;
            for (Map.Entry<String, Map<TaskRef, SimulatedRun>> worker : mRuns.entrySet()) {
                Resources free = CAPACITY;
                int here = 0;
                for (SimulatedRun run : worker.getValue().values()) {
                    free = free.minus(run.mPlan.need());
                    here += run.mRef.task().job().value().equals(job.mId) ? 1 : 0;
                }
                used = used.plus(CAPACITY.minus(free));
                running += here;
                int limit =
                        job.mPlan.maxPerWorker() > 0
                                ? Math.max(0, job.mPlan.maxPerWorker() - here)
                                : Integer.MAX_VALUE / WORKERS;
                fitting +=
                        mayUse(job, worker.getKey())
                                ? job.mPlan.need().maxCopiesIn(free, limit)
                                : 0;
            }
            int pending = job.mPlan.count() - running;
            for (boolean done : job.mDone) {
                pending -= done ? 1 : 0;
            }
            boolean lasting = job.mPlan.longRunning();
            boolean due = pending > 0 && (running == 0 || (lasting && !job.mPlan.gang()));
            boolean idle = used.times(2).fitsIn(CAPACITY.times(WORKERS));
            int needed = 2 * (job.mPlan.gang() ? job.mPlan.count() : 1);
            if (!due || fitting < needed || !(idle || lasting)) {
                job.mRoomSinceMs = -1;
            } else if (job.mRoomSinceMs < 0) {
                job.mRoomSinceMs = mFixture.nowMs;
            } else if (mFixture.nowMs - job.mRoomSinceMs == BOUND_MS) {
                mViolations.add("seed " + mSeed + ", " + job.mId + ", room for " + fitting);
            }
        }
    }
}
