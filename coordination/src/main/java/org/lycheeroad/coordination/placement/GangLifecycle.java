package org.lycheeroad.coordination.placement;

import java.util.List;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskState;

/**
 * Runs the life cycle of gangs (reserve, confirm, start, renew, stop) so that no gang runs in part.
 *
 * <p>START is sent only after all members have confirmed. If one member stops for any reason, all
 * members are stopped. The accelerators of a member are freed only when its worker confirms the
 * stop or its lease has certainly expired.
 */
final class GangLifecycle {
    /** Is notified when a gang leaves its placement or a member fails. */
    interface Listener {
        /** The gang has released all accelerators and waits to be placed again. */
        void onRequeued(Gang gang);

        /** The gang has ended and has released all accelerators. */
        void onEnded(Gang gang);

        /** A worker reported the task of a member as failed. */
        void onMemberFailed(GangMember member);

        /** All members have finished successfully. */
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

    /** Starts a new attempt and sends RESERVE to the worker of each member. */
    void place(Gang gang, List<WorkerState> workers, long fencingToken, long nowMs) {
        gang.mPlacementCount++;
        gang.mWaitedMs = nowMs - gang.mQueuedAtMs;
        gang.mAttemptNumber =
                AttemptNumber.of(fencingToken, gang.mPlacementCount, gang.mFailedRuns + 1);
        gang.mMembers.clear();
        int acceleratorsPerWorker = gang.mSpec.shape().acceleratorsPerWorker();
        for (int i = 0; i < workers.size(); i++) {
            WorkerState worker = workers.get(i);
            GangMember member =
                    new GangMember(
                            gang, i, worker, lowestBits(worker.freeMask(), acceleratorsPerWorker));
            gang.mMembers.add(member);
            mAllocator.allocate(member);
        }
        gang.mStateAfterStop = null;
        gang.mStopReason = "";
        gang.mStopDueAtMs = Long.MAX_VALUE;
        enterPhase(gang, Gang.Phase.RESERVING, nowMs);
    }

    /** Handles a worker's answer to an order of the gang's current attempt. */
    void onOrderAnswered(
            GangMember member, OrderKind kind, boolean accepted, String reason, long nowMs) {
        Gang gang = member.mGang;
        switch (kind) {
            case RESERVE -> {
                if (gang.mPhase == Gang.Phase.RESERVING) {
                    onReserveResult(member, accepted, reason, nowMs);
                }
            }
            case CONFIRM -> {
                if (gang.mPhase == Gang.Phase.CONFIRMING) {
                    onConfirmResult(member, accepted, reason, nowMs);
                }
            }
            case START -> {
                if (gang.mPhase == Gang.Phase.STARTING) {
                    onStartResult(member, accepted, reason, nowMs);
                }
            }
            case STOP -> {
                if (gang.mPhase == Gang.Phase.STOPPING && accepted) {
                    releaseMember(member);
                }
            }
            case RENEW, CHECKPOINT, THROTTLE, ACK -> {
                // Reports decide: a renewal may be refused because the task has just ended, before
                // the report of the end arrives.
            }
        }
    }

    /** Handles the state of a member's task in a report newer than the previous one. */
    void onTaskReported(GangMember member, TaskState state, long nowMs) {
        Gang gang = member.mGang;
        member.mReportedState = state;
        switch (state) {
            case RESERVED, CONFIRMED -> {}
            case RUNNING -> {
                if (gang.mPhase == Gang.Phase.STARTING) {
                    onStartResult(member, true, "", nowMs);
                }
            }
            case DONE -> {
                if (gang.allDone()) {
                    finishSucceeded(gang);
                } else if (gang.mPhase == Gang.Phase.STOPPING) {
                    releaseMember(member);
                } else if (gang.mPhase == Gang.Phase.STARTING) {
                    onStartResult(member, true, "", nowMs);
                }
            }
            case FAILED -> {
                if (gang.mPhase != Gang.Phase.STOPPING) {
                    mListener.onMemberFailed(member);
                    failRun(gang, "member " + member.mIndex + " failed", nowMs);
                }
                releaseMember(member);
            }
            case STOPPED, LAPSED -> {
                if (gang.mPhase != Gang.Phase.STOPPING) {
                    failRun(gang, "member " + member.mIndex + " ended early", nowMs);
                }
                releaseMember(member);
            }
        }
    }

    /** Handles a member whose task is missing from its worker's report. */
    void onTaskMissing(GangMember member, long nowMs) {
        Gang gang = member.mGang;
        if (gang.mPhase != Gang.Phase.STOPPING) {
            failRun(gang, "worker " + member.mWorker.mId + " lost member " + member.mIndex, nowMs);
        }
        releaseMember(member);
    }

    /**
     * Stops all members.
     *
     * @param stateAfterStop the final state of the job, or null to requeue the gang
     */
    void stop(Gang gang, JobState stateAfterStop, String reason, long nowMs) {
        if (gang.mPhase != Gang.Phase.STOPPING) {
            gang.mStateAfterStop = stateAfterStop;
            gang.mStopReason = reason;
            for (GangMember member : gang.mMembers) {
                if (member.mReportedState != null && !member.mReportedState.holdsAccelerators()) {
                    mAllocator.release(member);
                }
            }
            enterPhase(gang, Gang.Phase.STOPPING, nowMs);
        } else if (stateAfterStop != null) {
            gang.mStateAfterStop = stateAfterStop;
            gang.mStopReason = reason;
        }
        finishStopping(gang);
    }

    /** Cancels a placed gang. */
    void cancel(Gang gang, long nowMs) {
        if (gang.mFinalStatePublished) {
            return;
        }
        if (gang.mStartSent) {
            stop(gang, JobState.CANCELLED, "cancelled", nowMs);
        } else {
            gang.mFinalStatePublished = true;
            mActions.addJobChange(gang, JobState.NOT_RUN, "cancelled before start");
            stop(gang, JobState.NOT_RUN, "cancelled before start", nowMs);
        }
    }

    /** Asks the gang to checkpoint and stops it after the grace period. */
    void reclaim(Gang gang, long graceMs, long nowMs) {
        if (gang.mPhase != Gang.Phase.RUNNING) {
            stop(gang, null, "reclaimed", nowMs);
            return;
        }
        if (gang.mStopDueAtMs == Long.MAX_VALUE) {
            mActions.addJobChange(
                    gang, JobState.RECLAIMING, "reclaimed by the owner of the guarantee");
            for (GangMember member : gang.mMembers) {
                member.mAnswered = false;
                sendOrder(member, OrderKind.CHECKPOINT, nowMs);
            }
        }
        gang.mStopDueAtMs = Math.min(gang.mStopDueAtMs, nowMs + graceMs);
        if (gang.mStopDueAtMs <= nowMs) {
            stop(gang, null, "reclaimed", nowMs);
        }
    }

    /** Ends the adoption of a gang found in reports: it runs on, ends or is stopped. */
    void completeAdoption(Gang gang, long nowMs) {
        boolean allRunningOrDone =
                gang.mMembers.stream()
                        .allMatch(m -> m.mReportedState == TaskState.RUNNING || m.isDone());
        if (gang.allDone()) {
            finishSucceeded(gang);
        } else if (!gang.mSubmitted && gang.mMembers.stream().allMatch(GangMember::isDone)) {
            // The job ended under the previous owner, which acknowledged some of its tasks; only
            // the rest is still reported.
            gang.mFinalStatePublished = true;
            finishSucceeded(gang);
        } else if (allRunningOrDone && gang.mMembers.size() == gang.mSpec.shape().workers()) {
            enterPhase(gang, Gang.Phase.RUNNING, nowMs);
            mActions.addJobChange(gang, JobState.RUNNING, "adopted");
            renew(gang, nowMs);
        } else {
            failRun(gang, "the gang was incomplete after an owner change", nowMs);
        }
    }

    /** Resends unanswered orders, renews leases and applies time-outs and grace periods. */
    void tick(Gang gang, long nowMs) {
        switch (gang.mPhase) {
            case QUEUED, ADOPTING -> {}
            case RESERVING, CONFIRMING -> {
                if (nowMs
                        >= gang.mPhaseEnteredAtMs
                                + mSettings.reservationHoldMs()
                                - mSettings.leaseMarginMs()) {
                    abortPlacement(gang, "reservations were not answered in time", nowMs);
                } else {
                    resendUnanswered(
                            gang,
                            gang.mPhase == Gang.Phase.RESERVING
                                    ? OrderKind.RESERVE
                                    : OrderKind.CONFIRM,
                            nowMs);
                }
            }
            case STARTING -> {
                if (nowMs >= gang.mPhaseEnteredAtMs + mSettings.firstLeaseMs()) {
                    failRun(gang, "not every member started within the first lease", nowMs);
                } else {
                    resendUnanswered(gang, OrderKind.START, nowMs);
                }
            }
            case RUNNING -> tickRunning(gang, nowMs);
            case STOPPING -> {
                for (GangMember member : List.copyOf(gang.mMembers)) {
                    if (!member.mReleased && nowMs >= member.mHeldUntilMs) {
                        mAllocator.release(member);
                    }
                }
                if (!finishStopping(gang)) {
                    resendUnanswered(gang, OrderKind.STOP, nowMs);
                }
            }
        }
    }

    private void tickRunning(Gang gang, long nowMs) {
        for (GangMember member : gang.mMembers) {
            if (!member.isDone()
                    && nowMs - member.mWorker.mReportedAtMs > mSettings.memberLostTimeoutMs()) {
                failRun(gang, "worker " + member.mWorker.mId + " is silent", nowMs);
                return;
            }
            if (nowMs >= member.mHeldUntilMs - mSettings.leaseMarginMs() && !member.isDone()) {
                failRun(gang, "the lease on " + member.mWorker.mId + " ran out", nowMs);
                return;
            }
        }
        if (nowMs >= gang.mStopDueAtMs) {
            stop(gang, null, "reclaimed", nowMs);
            return;
        }
        if (gang.mStopDueAtMs != Long.MAX_VALUE) {
            resendUnanswered(gang, OrderKind.CHECKPOINT, nowMs);
        }
        if (nowMs >= gang.mRenewDueAtMs) {
            renew(gang, nowMs);
        }
    }

    /**
     * Renews all leases if a recent report shows every member running or done.
     *
     * <p>The lease counts from the oldest of these reports, so that no member runs for longer than
     * one lease after the last proof that all members ran.
     */
    private void renew(Gang gang, long nowMs) {
        long oldestReportMs = nowMs;
        for (GangMember member : gang.mMembers) {
            if (member.isDone()) {
                continue;
            }
            oldestReportMs = Math.min(oldestReportMs, member.mWorker.mReportedAtMs);
            if (member.mReportedState != TaskState.RUNNING
                    || nowMs - oldestReportMs > mSettings.maxReportAgeMs()) {
                return;
            }
        }
        long leaseMs = mSettings.leaseMs() - (nowMs - oldestReportMs);
        for (GangMember member : gang.mMembers) {
            if (!member.isDone()) {
                mActions.addOrder(OrderKind.RENEW, member, leaseMs);
                member.mHeldUntilMs =
                        Math.max(member.mHeldUntilMs, nowMs + leaseMs + mSettings.leaseMarginMs());
            }
        }
        // Renewals of all gangs are aligned to multiples of the interval, so that a worker gets one
        // call for all its members.
        gang.mRenewDueAtMs =
                (Math.floorDiv(nowMs, mSettings.renewIntervalMs()) + 1)
                        * mSettings.renewIntervalMs();
    }

    private void onReserveResult(GangMember member, boolean accepted, String reason, long nowMs) {
        if (!accepted) {
            member.mWorker.mNeedsFreshReport = true;
            if (member.mReserveSendCount == 1) {
                // RESERVE was sent only once and was refused, so the worker reserved nothing. After
                // a resend, another copy may have been accepted.
                mAllocator.release(member);
            }
            abortPlacement(member.mGang, "refused: " + reason, nowMs);
            return;
        }
        member.mAnswered = true;
        if (member.mGang.allAnswered()) {
            enterPhase(member.mGang, Gang.Phase.CONFIRMING, nowMs);
        }
    }

    private void onConfirmResult(GangMember member, boolean accepted, String reason, long nowMs) {
        Gang gang = member.mGang;
        member.mAnswered |= accepted;
        boolean tooLate =
                nowMs
                        >= gang.mPhaseEnteredAtMs
                                + mSettings.reservationHoldMs()
                                - mSettings.leaseMarginMs();
        if (!accepted || tooLate) {
            abortPlacement(
                    gang, accepted ? "confirmations came too late" : "refused: " + reason, nowMs);
        } else if (gang.allAnswered()) {
            gang.mStartSent = true;
            mActions.addJobChange(gang, JobState.STARTING, "");
            enterPhase(gang, Gang.Phase.STARTING, nowMs);
        }
    }

    private void onStartResult(GangMember member, boolean accepted, String reason, long nowMs) {
        Gang gang = member.mGang;
        if (!accepted) {
            failRun(gang, "start refused: " + reason, nowMs);
            return;
        }
        member.mAnswered = true;
        if (gang.allAnswered()) {
            gang.mPhase = Gang.Phase.RUNNING;
            gang.mPhaseEnteredAtMs = nowMs;
            gang.mRenewDueAtMs = nowMs;
            mActions.addJobChange(gang, JobState.RUNNING, "");
        }
    }

    /** Stops a placement that was never started and requeues the gang. */
    private void abortPlacement(Gang gang, String reason, long nowMs) {
        stop(gang, null, reason, nowMs);
    }

    /**
     * Stops the gang and counts a failed run if it may have started.
     *
     * <p>The gang is requeued, or the job fails when it has used up its runs.
     */
    void failRun(Gang gang, String reason, long nowMs) {
        if (gang.mPhase == Gang.Phase.STOPPING) {
            return;
        }
        if (gang.mPhase == Gang.Phase.RESERVING || gang.mPhase == Gang.Phase.CONFIRMING) {
            abortPlacement(gang, reason, nowMs);
            return;
        }
        gang.mFailedRuns++;
        boolean lastRun = gang.mFailedRuns >= mSettings.maxRuns();
        stop(
                gang,
                lastRun ? JobState.FAILED : null,
                lastRun ? reason + " (attempt " + gang.mFailedRuns + ")" : reason,
                nowMs);
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

    private void enterPhase(Gang gang, Gang.Phase phase, long nowMs) {
        gang.mPhase = phase;
        gang.mPhaseEnteredAtMs = nowMs;
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
                sendOrder(member, kind, nowMs);
            }
        }
    }

    private void resendUnanswered(Gang gang, OrderKind kind, long nowMs) {
        for (GangMember member : gang.mMembers) {
            if (!member.mAnswered
                    && !member.mReleased
                    && nowMs - member.mSentAtMs >= mSettings.resendIntervalMs()) {
                sendOrder(member, kind, nowMs);
            }
        }
    }

    private void sendOrder(GangMember member, OrderKind kind, long nowMs) {
        long leaseMs =
                switch (kind) {
                    case RESERVE, CONFIRM -> mSettings.reservationHoldMs();
                    case START -> mSettings.firstLeaseMs();
                    case RENEW -> mSettings.leaseMs();
                    case CHECKPOINT, THROTTLE, STOP, ACK -> 0;
                };
        mActions.addOrder(kind, member, leaseMs);
        member.mSentAtMs = nowMs;
        if (kind == OrderKind.RESERVE) {
            member.mReserveSendCount++;
        }
        if (leaseMs > 0) {
            member.mHeldUntilMs =
                    Math.max(member.mHeldUntilMs, nowMs + leaseMs + mSettings.leaseMarginMs());
        }
    }

    private static long lowestBits(long mask, int count) {
        long bits = 0;
        for (int i = 0; i < count; i++) {
            long bit = Long.lowestOneBit(mask & ~bits);
            bits |= bit;
        }
        return bits;
    }
}
