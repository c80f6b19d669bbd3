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

/** The callers that wait for a job to run or to end, each until a deadline. */
final class WaitingCallers {
    private static final class Caller {
        private final CompletableFuture<JobRecord> mAnswer;
        private final boolean mUntilRunning;
        private long mDeadlineNanos;
        private boolean mCancelRequested;
        private boolean mExpired;

        Caller(CompletableFuture<JobRecord> answer, boolean untilRunning, long deadlineNanos) {
            mAnswer = answer;
            mUntilRunning = untilRunning;
            mDeadlineNanos = deadlineNanos;
        }
    }

    private final long mCancelTimeoutMillis;
    private final Map<JobId, List<Caller>> mCallersByJob = new HashMap<>();

    /** Creates an empty set; a submission that expires is cancelled and waits that much longer. */
    WaitingCallers(long cancelWaitMillis) {
        mCancelTimeoutMillis = cancelWaitMillis;
    }

    /** Adds a submitter, who is answered when the job runs or has ended. */
    void addUntilRunning(JobId job, CompletableFuture<JobRecord> answer, long waitMillis) {
        add(job, new Caller(answer, true, deadlineNanos(waitMillis)));
    }

    /** Adds a caller who is answered when the job has ended. */
    void addUntilEnded(JobId job, CompletableFuture<JobRecord> answer) {
        add(job, new Caller(answer, false, deadlineNanos(mCancelTimeoutMillis)));
    }

    private void add(JobId job, Caller waiting) {
        mCallersByJob.computeIfAbsent(job, j -> new ArrayList<>()).add(waiting);
    }

    boolean isEmpty() {
        return mCallersByJob.isEmpty();
    }

    /** Answers those who wait for this state of a job. */
    void answerCallers(JobRecord record) {
        JobId job = record.spec().id();
        List<Caller> waiting = mCallersByJob.get(job);
        if (waiting == null) {
            return;
        }
        boolean runs = record.state() == JobState.RUNNING;
        waiting.removeIf(
                w -> {
                    boolean settled = record.state().isFinal() || (runs && w.mUntilRunning);
                    if (settled) {
                        w.mAnswer.complete(record);
                    }
                    return settled;
                });
        if (waiting.isEmpty()) {
            mCallersByJob.remove(job);
        }
    }

    /** Fails the callers whose time is over; returns the jobs to cancel for their submitters. */
    List<JobId> expireCallers() {
        long now = System.nanoTime();
        List<JobId> toCancel = new ArrayList<>();
        Iterator<Map.Entry<JobId, List<Caller>>> jobs = mCallersByJob.entrySet().iterator();
        while (jobs.hasNext()) {
            Map.Entry<JobId, List<Caller>> job = jobs.next();
            for (Caller waiting : job.getValue()) {
                if (now - waiting.mDeadlineNanos < 0) {
                    continue;
                }
                if (waiting.mUntilRunning && !waiting.mCancelRequested) {
                    // The submitter is told "not run", so the job must not start any more.
                    waiting.mCancelRequested = true;
                    waiting.mDeadlineNanos = deadlineNanos(mCancelTimeoutMillis);
                    toCancel.add(job.getKey());
                } else {
                    waiting.mExpired = true;
                    waiting.mAnswer.completeExceptionally(
                            new IllegalStateException("the job did not settle in time"));
                }
            }
            job.getValue().removeIf(w -> w.mExpired);
            if (job.getValue().isEmpty()) {
                jobs.remove();
            }
        }
        return toCancel;
    }

    private static long deadlineNanos(long millis) {
        return System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
