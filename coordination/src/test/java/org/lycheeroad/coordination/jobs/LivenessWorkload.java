package org.lycheeroad.coordination.jobs;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.coordination.jobs.LivenessWorld.Kind;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.StepPlan;

/** Draws the jobs of a simulation. */
final class LivenessWorkload {
    static final QueueName TEMPORARY = new QueueName("temporary");
    static final QueueName LASTING_QUEUE = new QueueName("lasting");
    private static final int WORKER_ACCELERATORS = 8;

    /** Accepts and cancels jobs. */
    interface Intake {
        JobId submit(QueueName queue, JobPlan plan);

        void cancel(JobId id);
    }

    private final LivenessWorld mWorld;
    private final Intake mIntake;

    LivenessWorkload(LivenessWorld world, Intake intake) {
        mWorld = world;
        mIntake = intake;
    }

    void submitLastingJobs(int workers) {
        int accelerators = WORKER_ACCELERATORS * workers;
        int left = accelerators * (15 + mWorld.random.nextInt(60)) / 100;
        while (left > 0) {
            int need = 1 << mWorld.random.nextInt(4);
            int count = Math.min(Math.max(1, left / need), 1 + mWorld.random.nextInt(4));
            long estimateMs = Math.round(Math.pow(10, 3 + 2.8 * mWorld.random.nextDouble()));
            StepBuilder step = StepBuilder.step(count, need, estimateMs).longRunning();
            boolean advised = mWorld.kinds.contains(Kind.POLICY) && mWorld.random.nextInt(4) == 0;
            mIntake.submit(
                    advised ? JobSchedulerFixture.ADVISED : LASTING_QUEUE,
                    new JobPlan("spec", List.of(constrain(step)), 0, 0, 0));
            left -= need * count;
        }
    }

    void submitJob() {
        List<QueueName> queues = new ArrayList<>();
        addQueue(queues, JobSchedulerFixture.BULK, true);
        addQueue(queues, JobSchedulerFixture.URGENT, mWorld.kinds.contains(Kind.GUARANTEES));
        addQueue(queues, JobSchedulerFixture.ADVISED, mWorld.kinds.contains(Kind.POLICY));
        addQueue(queues, TEMPORARY, mWorld.kinds.contains(Kind.QUEUE_CHANGES));
        if (queues.isEmpty()) {
            return;
        }
        List<StepPlan> steps = new ArrayList<>();
        int count = 1 + mWorld.random.nextInt(3);
        for (int i = 0; i < count; i++) {
            steps.add(drawStep(i));
        }
        boolean repeated = mWorld.kinds.contains(Kind.REPEATED) && mWorld.random.nextInt(4) == 0;
        JobPlan plan =
                repeated
                        ? new JobPlan(
                                "spec",
                                steps,
                                2 + mWorld.random.nextInt(2),
                                mWorld.nowMs + mWorld.random.nextInt(2_000),
                                500 + mWorld.random.nextInt(3_000))
                        : new JobPlan("spec", steps, 0, 0, 0);
        JobId id = mIntake.submit(queues.get(mWorld.random.nextInt(queues.size())), plan);
        if (mWorld.kinds.contains(Kind.HOPELESS) && mWorld.random.nextInt(6) == 0) {
            mWorld.hopeless.add(id);
        }
        if (mWorld.strikes(Kind.CANCELS, 6)) {
            mWorld.schedule(mWorld.random.nextInt(4_000), () -> mIntake.cancel(id));
        }
    }

    private void addQueue(List<QueueName> queues, QueueName name, boolean used) {
        if (used && mWorld.config.queue(name).isPresent()) {
            queues.add(name);
        }
    }

    private StepPlan drawStep(int number) {
        boolean gang = mWorld.kinds.contains(Kind.GANGS) && mWorld.random.nextInt(5) < 2;
        int most = gang && mWorld.random.nextInt(4) == 0 ? 7 : 3;
        int count = gang ? 2 + mWorld.random.nextInt(most) : 1 + mWorld.random.nextInt(4);
        int need = gang ? 4 + 4 * mWorld.random.nextInt(2) : 1 << mWorld.random.nextInt(4);
        StepBuilder step = StepBuilder.step(count, need, 200 + mWorld.random.nextInt(3_000));
        if (gang) {
            step.gang();
        }
        if (gang && mWorld.kinds.contains(Kind.RACKS) && mWorld.random.nextBoolean()) {
            step.rackLocal();
        }
        if (number > 0 && mWorld.random.nextInt(4) > 0) {
            step.after(number - 1);
        }
        return constrain(step);
    }

    private StepPlan constrain(StepBuilder step) {
        if (mWorld.kinds.contains(Kind.RACKS) && mWorld.random.nextInt(3) == 0) {
            step.dataRack("r" + mWorld.random.nextInt(3));
        }
        if (mWorld.kinds.contains(Kind.SPREADING) && mWorld.random.nextInt(3) == 0) {
            step.maxPerWorker(1 + mWorld.random.nextInt(2));
        }
        if (mWorld.kinds.contains(Kind.LABELS) && mWorld.random.nextInt(4) == 0) {
            step.label("x");
        }
        return step.build();
    }
}
