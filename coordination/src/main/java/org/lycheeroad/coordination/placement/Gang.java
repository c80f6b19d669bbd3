package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;

/** An unfinished gang job and, while it is placed, its members. */
final class Gang {
    /** The phase of the gang's life cycle; see {@link GangLifecycle}. */
    enum Phase {
        QUEUED,

        /** Members started under a previous owner are being collected from reports. */
        ADOPTING,
        RESERVING,
        CONFIRMING,
        STARTING,
        RUNNING,
        STOPPING
    }

    final JobSpec mSpec;
    final long mSubmittedAtMs;
    Phase mPhase = Phase.QUEUED;
    List<GangMember> mMembers = new ArrayList<>(0);
    int mAttemptNumber;
    int mPlacementCount;
    int mFailedRuns;
    boolean mStartSent;

    /** True if a previous owner may have started the gang. */
    boolean mMayPredateOwnership;

    /** True if the job was cancelled while a new owner did not yet know whether it runs. */
    boolean mCancelRequested;

    /** True while the gang's placement or claim is covered by its team's guarantee. */
    boolean mWithinGuarantee;

    /** Workers on which accelerators are kept free for the waiting gang; empty without a claim. */
    List<WorkerState> mClaimedWorkers = List.of();

    /** Workers on which a member failed; used only if no other worker fits. */
    Set<WorkerId> mWorkersToAvoid = Set.of();

    /** False for a gang known only from worker reports. */
    boolean mSubmitted;

    boolean mFinalStatePublished;

    /** Start of the current wait; a failed run continues the wait, a reclaim restarts it. */
    long mQueuedAtMs;

    /** How long the gang had waited in the queue when it was last placed. */
    long mWaitedMs;

    long mPhaseEnteredAtMs;
    long mRenewDueAtMs;

    /** Earliest time of the next placement. */
    long mEligibleAtMs;

    /** Time of the STOP that follows a CHECKPOINT, or {@code Long.MAX_VALUE} if not reclaimed. */
    long mStopDueAtMs = Long.MAX_VALUE;

    /** The final state after STOPPING, or null to requeue the gang. */
    JobState mStateAfterStop;

    String mStopReason = "";

    Gang(JobSpec spec, long nowMs) {
        mSpec = spec;
        mSubmittedAtMs = nowMs;
        mQueuedAtMs = nowMs;
    }

    JobId id() {
        return mSpec.id();
    }

    boolean isPlaced() {
        return mPhase != Phase.QUEUED;
    }

    /** Returns whether the last run was reclaimed, or asked to checkpoint, for another gang. */
    boolean isReclaimRequested() {
        return mStopDueAtMs != Long.MAX_VALUE;
    }

    GangMember findMember(int index) {
        for (GangMember member : mMembers) {
            if (member.mIndex == index) {
                return member;
            }
        }
        return null;
    }

    boolean allAnswered() {
        return mMembers.stream().allMatch(m -> m.mAnswered);
    }

    boolean allReleased() {
        return mMembers.stream().allMatch(m -> m.mReleased);
    }

    boolean allDone() {
        return mMembers.size() == mSpec.shape().workers()
                && mMembers.stream().allMatch(GangMember::isDone);
    }
}
