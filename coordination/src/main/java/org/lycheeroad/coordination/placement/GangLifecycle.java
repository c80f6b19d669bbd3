package org.lycheeroad.coordination.placement;

import java.util.List;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskState;

/**
 * Takes one gang through reserve, confirm, start, renew and stop, so that it never runs partially.
 *
 * <p>START is sent only after every member's confirmation has been seen. Whatever stops one member
 * stops all, and the accelerators of a member are free only when its stop is confirmed or its lease
 * must have expired.
 */
final class GangLifecycle {
    /** Learns what became of a gang. */
    interface Listener {
        /** The gang holds nothing any more and waits to be placed again. */
        void onRequeued(Gang gang);

        /** The gang has ended and holds nothing any more. */
        void onEnded(Gang gang);

        /** A member failed by itself. */
        void onMemberFailed(GangMember member);

        /** All members ran to the end. */
        void onSucceeded(Gang gang);
    }

    private final PlacementSettings mSettings;
    private final AcceleratorAllocator mAllocator;
    private final ActionBuffer mActions;
    private final Listener mListener;

    GangLifecycle(
            PlacementSettings settings,
            AcceleratorAllocator ledger,
            ActionBuffer outbox,
            Listener listener) {
        mSettings = settings;
        mAllocator = ledger;
        mActions = outbox;
        mListener = listener;
    }

    /** Reserves one worker for each member. */
    void place(Gang gang, List<WorkerState> workers, long token, long now) {
        gang.mPlacementCount++;
        gang.mWaitedMs = now - gang.mQueuedAtMs;
        gang.mAttemptNumber = AttemptNumber.of(token, gang.mPlacementCount, gang.mFailedRuns + 1);
        gang.mMembers.clear();
        int count = gang.mSpec.shape().acceleratorsPerWorker();
        for (int i = 0; i < workers.size(); i++) {
            WorkerState worker = workers.get(i);
            GangMember member =
                    new GangMember(gang, i, worker, lowestBits(worker.freeMask(), count));
            gang.mMembers.add(member);
            mAllocator.allocate(member);
        }
        gang.mStateAfterStop = null;
        gang.mStopReason = "";
        gang.mStopDueAtMs = Long.MAX_VALUE;
        enterPhase(gang, Gang.Phase.RESERVING, now);
    }

    /** Applies a worker's answer to an order of the gang's present attempt. */
    void onOrderAnswered(
            GangMember member, OrderKind kind, boolean accepted, String reason, long now) {
        Gang gang = member.mGang;
        switch (kind) {
            case RESERVE -> {
                if (gang.mPhase == Gang.Phase.RESERVING) {
                    onReserveResult(member, accepted, reason, now);
                }
            }
            case CONFIRM -> {
                if (gang.mPhase == Gang.Phase.CONFIRMING) {
                    onConfirmResult(member, accepted, reason, now);
                }
            }
            case START -> {
                if (gang.mPhase == Gang.Phase.STARTING) {
                    onStartResult(member, accepted, reason, now);
                }
            }
            case STOP -> {
                if (gang.mPhase == Gang.Phase.STOPPING && accepted) {
                    releaseMember(member);
                }
            }
            case RENEW, CHECKPOINT, THROTTLE, ACK -> {
                // A refused renewal may cross the report of the task's end; reports decide.
            }
        }
    }

    /** Applies the state of a member's task in a report that is newer than the one before. */
    void onTaskReported(GangMember member, TaskState state, long now) {
        Gang gang = member.mGang;
        member.mReportedState = state;
        switch (state) {
            case RESERVED, CONFIRMED -> {}
            case RUNNING -> {
                if (gang.mPhase == Gang.Phase.STARTING) {
                    onStartResult(member, true, "", now);
                }
            }
            case DONE -> {
                if (gang.allDone()) {
                    finishSucceeded(gang);
                } else if (gang.mPhase == Gang.Phase.STOPPING) {
                    releaseMember(member);
                } else if (gang.mPhase == Gang.Phase.STARTING) {
                    onStartResult(member, true, "", now);
                }
            }
            case FAILED -> {
                if (gang.mPhase != Gang.Phase.STOPPING) {
                    mListener.onMemberFailed(member);
                    failRun(gang, "member " + member.mIndex + " failed", now);
                }
                releaseMember(member);
            }
            case STOPPED, LAPSED -> {
                if (gang.mPhase != Gang.Phase.STOPPING) {
                    failRun(gang, "member " + member.mIndex + " ended early", now);
                }
                releaseMember(member);
            }
        }
    }

    /** Handles a member whose worker no longer knows the task. */
    void onTaskMissing(GangMember member, long now) {
        Gang gang = member.mGang;
        if (gang.mPhase != Gang.Phase.STOPPING) {
            failRun(gang, "worker " + member.mWorker.mId + " lost member " + member.mIndex, now);
        }
        releaseMember(member);
    }

    /** Stops all members; the gang then ends in {@code after}, or is queued when that is null. */
    void stop(Gang gang, JobState after, String reason, long now) {
        if (gang.mPhase != Gang.Phase.STOPPING) {
            gang.mStateAfterStop = after;
            gang.mStopReason = reason;
            for (GangMember member : gang.mMembers) {
                if (member.mReportedState != null && !member.mReportedState.holdsAccelerators()) {
                    mAllocator.release(member);
                }
            }
            enterPhase(gang, Gang.Phase.STOPPING, now);
        } else if (after != null) {
            gang.mStateAfterStop = after;
            gang.mStopReason = reason;
        }
        finishStopping(gang);
    }

    /** Cancels a placed gang. */
    void cancel(Gang gang, long now) {
        if (gang.mFinalStatePublished) {
            return;
        }
        if (gang.mStartSent) {
            stop(gang, JobState.CANCELLED, "cancelled", now);
        } else {
            gang.mFinalStatePublished = true;
            mActions.addJobChange(gang, JobState.NOT_RUN, "cancelled before start");
            stop(gang, JobState.NOT_RUN, "cancelled before start", now);
        }
    }

    /** Asks the gang to checkpoint and stops it after the grace. */
    void reclaim(Gang gang, long graceMs, long now) {
        if (gang.mPhase != Gang.Phase.RUNNING) {
            stop(gang, null, "reclaimed", now);
            return;
        }
        if (gang.mStopDueAtMs == Long.MAX_VALUE) {
            mActions.addJobChange(
                    gang, JobState.RECLAIMING, "reclaimed by the owner of the guarantee");
            for (GangMember member : gang.mMembers) {
                member.mAnswered = false;
                sendOrder(member, OrderKind.CHECKPOINT, now);
            }
        }
        gang.mStopDueAtMs = Math.min(gang.mStopDueAtMs, now + graceMs);
        if (gang.mStopDueAtMs <= now) {
            stop(gang, null, "reclaimed", now);
        }
    }

    /** Puts a gang found in reports under this owner's control. */
    void completeAdoption(Gang gang, long now) {
        boolean live =
                gang.mMembers.stream()
                        .allMatch(m -> m.mReportedState == TaskState.RUNNING || m.isDone());
        if (gang.allDone()) {
            finishSucceeded(gang);
        } else if (!gang.mSubmitted && gang.mMembers.stream().allMatch(GangMember::isDone)) {
            // What is left of a job that ended under the owner before and was partly acknowledged.
            gang.mFinalStatePublished = true;
            finishSucceeded(gang);
        } else if (live && gang.mMembers.size() == gang.mSpec.shape().workers()) {
            enterPhase(gang, Gang.Phase.RUNNING, now);
            mActions.addJobChange(gang, JobState.RUNNING, "adopted");
            renew(gang, now);
        } else {
            failRun(gang, "the gang was incomplete after an owner change", now);
        }
    }

    /** Sends what is due: repeated orders, renewals, stops after a grace, and expired steps. */
    void tick(Gang gang, long now) {
        switch (gang.mPhase) {
            case QUEUED, ADOPTING -> {}
            case RESERVING, CONFIRMING -> {
                if (now
                        >= gang.mPhaseEnteredAtMs
                                + mSettings.reservationHoldMs()
                                - mSettings.leaseMarginMs()) {
                    abortPlacement(gang, "reservations were not answered in time", now);
                } else {
                    resendUnanswered(
                            gang,
                            gang.mPhase == Gang.Phase.RESERVING
                                    ? OrderKind.RESERVE
                                    : OrderKind.CONFIRM,
                            now);
                }
            }
            case STARTING -> {
                if (now >= gang.mPhaseEnteredAtMs + mSettings.firstLeaseMs()) {
                    failRun(gang, "not every member started within the first lease", now);
                } else {
                    resendUnanswered(gang, OrderKind.START, now);
                }
            }
            case RUNNING -> tickRunning(gang, now);
            case STOPPING -> {
                for (GangMember member : List.copyOf(gang.mMembers)) {
                    if (!member.mReleased && now >= member.mHeldUntilMs) {
                        mAllocator.release(member);
                    }
                }
                if (!finishStopping(gang)) {
                    resendUnanswered(gang, OrderKind.STOP, now);
                }
            }
        }
    }

    private void tickRunning(Gang gang, long now) {
        for (GangMember member : gang.mMembers) {
            if (!member.isDone()
                    && now - member.mWorker.mReportedAtMs > mSettings.memberLostTimeoutMs()) {
                failRun(gang, "worker " + member.mWorker.mId + " is silent", now);
                return;
            }
            if (now >= member.mHeldUntilMs - mSettings.leaseMarginMs() && !member.isDone()) {
                failRun(gang, "the lease on " + member.mWorker.mId + " ran out", now);
                return;
            }
        }
        if (now >= gang.mStopDueAtMs) {
            stop(gang, null, "reclaimed", now);
            return;
        }
        if (gang.mStopDueAtMs != Long.MAX_VALUE) {
            resendUnanswered(gang, OrderKind.CHECKPOINT, now);
        }
        if (now >= gang.mRenewDueAtMs) {
            renew(gang, now);
        }
    }

    /**
     * Renews all leases if every member is reported running in a fresh report.
     *
     * <p>The lease counts from the oldest of these reports, so that no member runs for longer than
     * the lease after the last proof that all of them ran.
     */
    private void renew(Gang gang, long now) {
        long oldest = now;
        for (GangMember member : gang.mMembers) {
            if (member.isDone()) {
                continue;
            }
            oldest = Math.min(oldest, member.mWorker.mReportedAtMs);
            if (member.mReportedState != TaskState.RUNNING
                    || now - oldest > mSettings.maxReportAgeMs()) {
                return;
            }
        }
        long lease = mSettings.leaseMs() - (now - oldest);
        for (GangMember member : gang.mMembers) {
            if (!member.isDone()) {
                mActions.addOrder(OrderKind.RENEW, member, lease);
                member.mHeldUntilMs =
                        Math.max(member.mHeldUntilMs, now + lease + mSettings.leaseMarginMs());
            }
        }
        // All gangs renew at the same instants, so that a worker gets one call for all its members.
        gang.mRenewDueAtMs =
                (Math.floorDiv(now, mSettings.renewIntervalMs()) + 1) * mSettings.renewIntervalMs();
    }

    private void onReserveResult(GangMember member, boolean accepted, String reason, long now) {
        if (!accepted) {
            member.mWorker.mNeedsFreshReport = true;
            if (member.mReserveSendCount == 1) {
                // The only RESERVE was refused, so the worker holds nothing for this member.
                mAllocator.release(member);
            }
            abortPlacement(member.mGang, "refused: " + reason, now);
            return;
        }
        member.mAnswered = true;
        if (member.mGang.allAnswered()) {
            enterPhase(member.mGang, Gang.Phase.CONFIRMING, now);
        }
    }

    private void onConfirmResult(GangMember member, boolean accepted, String reason, long now) {
        Gang gang = member.mGang;
        member.mAnswered |= accepted;
        boolean late =
                now
                        >= gang.mPhaseEnteredAtMs
                                + mSettings.reservationHoldMs()
                                - mSettings.leaseMarginMs();
        if (!accepted || late) {
            abortPlacement(
                    gang, accepted ? "confirmations came too late" : "refused: " + reason, now);
        } else if (gang.allAnswered()) {
            gang.mStartSent = true;
            mActions.addJobChange(gang, JobState.STARTING, "");
            enterPhase(gang, Gang.Phase.STARTING, now);
        }
    }

    private void onStartResult(GangMember member, boolean accepted, String reason, long now) {
        Gang gang = member.mGang;
        if (!accepted) {
            failRun(gang, "start refused: " + reason, now);
            return;
        }
        member.mAnswered = true;
        if (gang.allAnswered()) {
            gang.mPhase = Gang.Phase.RUNNING;
            gang.mPhaseEnteredAtMs = now;
            gang.mRenewDueAtMs = now;
            mActions.addJobChange(gang, JobState.RUNNING, "");
        }
    }

    /** Gives up a placement that was never started. */
    private void abortPlacement(Gang gang, String reason, long now) {
        stop(gang, null, reason, now);
    }

    /** Ends a run that may have started; the job fails after its last run. */
    void failRun(Gang gang, String reason, long now) {
        if (gang.mPhase == Gang.Phase.STOPPING) {
            return;
        }
        if (gang.mPhase == Gang.Phase.RESERVING || gang.mPhase == Gang.Phase.CONFIRMING) {
            abortPlacement(gang, reason, now);
            return;
        }
        gang.mFailedRuns++;
        boolean last = gang.mFailedRuns >= mSettings.maxRuns();
        stop(
                gang,
                last ? JobState.FAILED : null,
                last ? reason + " (attempt " + gang.mFailedRuns + ")" : reason,
                now);
    }

    private void releaseMember(GangMember member) {
        mAllocator.release(member);
        finishStopping(member.mGang);
    }

    private boolean finishStopping(Gang gang) {
        if (gang.mPhase != Gang.Phase.STOPPING || !gang.allReleased()) {
            return false;
        }
        gang.mMembers.clear();
        if (gang.mStateAfterStop == null) {
            gang.mPhase = Gang.Phase.QUEUED;
            if (gang.mStartSent) {
                mActions.addJobChange(gang, JobState.QUEUED, gang.mStopReason);
            }
            mListener.onRequeued(gang);
        } else {
            if (!gang.mFinalStatePublished) {
                gang.mFinalStatePublished = true;
                mActions.addJobChange(gang, gang.mStateAfterStop, gang.mStopReason);
            }
            mListener.onEnded(gang);
        }
        return true;
    }

    private void finishSucceeded(Gang gang) {
        for (GangMember member : gang.mMembers) {
            mAllocator.release(member);
        }
        mListener.onSucceeded(gang);
        if (!gang.mFinalStatePublished) {
            gang.mFinalStatePublished = true;
            mActions.addJobChange(gang, JobState.DONE, "");
        }
        mListener.onEnded(gang);
    }

    private void enterPhase(Gang gang, Gang.Phase phase, long now) {
        gang.mPhase = phase;
        gang.mPhaseEnteredAtMs = now;
        OrderKind kind =
                switch (phase) {
                    case RESERVING -> OrderKind.RESERVE;
                    case CONFIRMING -> OrderKind.CONFIRM;
                    case STARTING -> OrderKind.START;
                    case STOPPING -> OrderKind.STOP;
                    case QUEUED, ADOPTING, RUNNING -> null;
                };
        for (GangMember member : gang.mMembers) {
            member.mAnswered = false;
            if (kind != null && !member.mReleased) {
                sendOrder(member, kind, now);
            }
        }
    }

    private void resendUnanswered(Gang gang, OrderKind kind, long now) {
        for (GangMember member : gang.mMembers) {
            if (!member.mAnswered
                    && !member.mReleased
                    && now - member.mSentAtMs >= mSettings.resendIntervalMs()) {
                sendOrder(member, kind, now);
            }
        }
    }

    private void sendOrder(GangMember member, OrderKind kind, long now) {
        long lease =
                switch (kind) {
                    case RESERVE, CONFIRM -> mSettings.reservationHoldMs();
                    case START -> mSettings.firstLeaseMs();
                    case RENEW -> mSettings.leaseMs();
                    case CHECKPOINT, THROTTLE, STOP, ACK -> 0;
                };
        mActions.addOrder(kind, member, lease);
        member.mSentAtMs = now;
        if (kind == OrderKind.RESERVE) {
            member.mReserveSendCount++;
        }
        if (lease > 0) {
            member.mHeldUntilMs =
                    Math.max(member.mHeldUntilMs, now + lease + mSettings.leaseMarginMs());
        }
    }

    private static long lowestBits(long mask, int count) {
        long taken = 0;
        for (int i = 0; i < count; i++) {
            long bit = Long.lowestOneBit(mask & ~taken);
            taken |= bit;
        }
        return taken;
    }
}
