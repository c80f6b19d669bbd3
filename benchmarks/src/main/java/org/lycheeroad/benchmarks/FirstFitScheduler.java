package org.lycheeroad.benchmarks;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;

/**
 * The baseline scheduler: starts jobs in arrival order, each on the first workers that have enough
 * idle accelerators.
 */
final class FirstFitScheduler {
    private final int[] mIdleAccelerators;
    private final Queue<JobSpec> mWaitingJobs = new ArrayDeque<>();
    private final Map<JobId, int[]> mWorkersByJob = new HashMap<>();
    private final Map<JobId, JobSpec> mRunningSpecs = new HashMap<>();

    FirstFitScheduler(int[] accelerators) {
        mIdleAccelerators = accelerators.clone();
    }

    /** Submits a job and returns the jobs that start. */
    List<JobId> submit(JobSpec spec) {
        mWaitingJobs.add(spec);
        return startWaitingJobs();
    }

    /** Ends a job and returns the jobs that start as a result. */
    List<JobId> finish(JobId job) {
        int perWorker = mRunningSpecs.remove(job).shape().acceleratorsPerWorker();
        for (int worker : mWorkersByJob.remove(job)) {
            mIdleAccelerators[worker] += perWorker;
        }
        return startWaitingJobs();
    }

    /** Returns the idle accelerators of each worker. */
    int[] idleAccelerators() {
        return mIdleAccelerators.clone();
    }

    List<Shape> waitingShapes() {
        return mWaitingJobs.stream().map(JobSpec::shape).toList();
    }

    private List<JobId> startWaitingJobs() {
        List<JobId> started = new ArrayList<>();
        while (!mWaitingJobs.isEmpty()) {
            JobSpec spec = mWaitingJobs.peek();
            int perWorker = spec.shape().acceleratorsPerWorker();
            int[] workers = new int[spec.shape().workers()];
            int found = 0;
            for (int i = 0; i < mIdleAccelerators.length && found < workers.length; i++) {
                if (mIdleAccelerators[i] >= perWorker) {
                    workers[found++] = i;
                }
            }
            if (found < workers.length) {
                break;
            }
            for (int worker : workers) {
                mIdleAccelerators[worker] -= perWorker;
            }
            mWaitingJobs.remove();
            mWorkersByJob.put(spec.id(), workers);
            mRunningSpecs.put(spec.id(), spec);
            started.add(spec.id());
        }
        return started;
    }
}
