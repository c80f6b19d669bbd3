package org.lycheeroad.entry.duty;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobState;

/** The callers that wait for a job to run or to end, each with a deadline. */
final class WaitingCallers {
    private static final class Caller {
        private final CompletableFuture<JobRecord> mResult;
        private final boolean mUntilRunning;
        private long mDeadlineNanos;
        private boolean mCancelRequested;
        private boolean mExpired;

        Caller(CompletableFuture<JobRecord> result, boolean untilRunning, long deadlineNanos) {
            mResult = result;
            mUntilRunning = untilRunning;
            mDeadlineNanos = deadlineNanos;
        }
    }

    private final long mCancelTimeoutMillis;
    private final Map<JobId, List<Caller>> mCallersByJob = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param cancelTimeoutMillis how long to wait for a cancellation; the job of a submission that
     *     expires is cancelled, and its caller waits this long for the result
     */
    WaitingCallers(long cancelTimeoutMillis) {
        mCancelTimeoutMillis = cancelTimeoutMillis;
    }

    /** Adds a submitter, whose future completes when the job runs or has ended. */
    void addUntilRunning(JobId job, CompletableFuture<JobRecord> result, long timeoutMillis) {
        add(job, new Caller(result, true, deadlineNanos(timeoutMillis)));
    }

    /** Adds a caller whose future completes when the job has ended. */
    void addUntilEnded(JobId job, CompletableFuture<JobRecord> result) {
        add(job, new Caller(result, false, deadlineNanos(mCancelTimeoutMillis)));
    }

    private void add(JobId job, Caller caller) {
        mCallersByJob.computeIfAbsent(job, j -> new ArrayList<>()).add(caller);
    }

    boolean isEmpty() {
        return mCallersByJob.isEmpty();
    }

    /** Completes the futures of the callers that wait for this state of a job. */
    void answerCallers(JobRecord record) {
        JobId job = record.spec().id();
        List<Caller> callers = mCallersByJob.get(job);
        if (callers == null) {
            return;
        }
        boolean running = record.state() == JobState.RUNNING;
        callers.removeIf(
                caller -> {
                    boolean completed =
                            record.state().isFinal() || (running && caller.mUntilRunning);
                    if (completed) {
                        caller.mResult.complete(record);
                    }
                    return completed;
                });
        if (callers.isEmpty()) {
            mCallersByJob.remove(job);
        }
    }

    /**
     * Fails the callers whose deadline has passed; returns the jobs of expired submitters to
     * cancel.
     */
    List<JobId> expireCallers() {
        long nowNanos = System.nanoTime();
        List<JobId> jobsToCancel = new ArrayList<>();
        Iterator<Map.Entry<JobId, List<Caller>>> jobs = mCallersByJob.entrySet().iterator();
        while (jobs.hasNext()) {
            Map.Entry<JobId, List<Caller>> callersOfJob = jobs.next();
            for (Caller caller : callersOfJob.getValue()) {
                if (nowNanos - caller.mDeadlineNanos < 0) {
                    continue;
                }
                if (caller.mUntilRunning && !caller.mCancelRequested) {
                    // The submitter will be told "not run", so the job must not start any more.
                    caller.mCancelRequested = true;
                    caller.mDeadlineNanos = deadlineNanos(mCancelTimeoutMillis);
                    jobsToCancel.add(callersOfJob.getKey());
                } else {
                    caller.mExpired = true;
                    caller.mResult.completeExceptionally(
                            new IllegalStateException(
                                    "the job did not reach the awaited state in time"));
                }
            }
            callersOfJob.getValue().removeIf(caller -> caller.mExpired);
            if (callersOfJob.getValue().isEmpty()) {
                jobs.remove();
            }
        }
        return jobsToCancel;
    }

    private static long deadlineNanos(long timeoutMillis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }
}
