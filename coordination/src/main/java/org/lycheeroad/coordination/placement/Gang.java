package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;

/** One unfinished job and, while it is placed, its members. */
final class Gang {
    /** Where the gang stands between two events. */
    enum Phase {
        QUEUED,
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

    /** True when an earlier owner may have started the gang. */
    boolean mMayPredateOwnership;

    /** True for a job cancelled while it was unknown whether it runs. */
    boolean mCancelRequested;

    /** True while the gang runs, or waits for its claim, within its team's guarantee. */
    boolean mWithinGuarantee;

    /** Workers kept free for the waiting gang; empty without a claim. */
    List<WorkerState> mClaimedWorkers = List.of();

    /** Workers on which a member failed; used again only when no other fits. */
    Set<WorkerId> mWorkersToAvoid = Set.of();

    /** False for a gang that is known only from reports. */
    boolean mSubmitted;

    boolean mFinalStatePublished;

    /** When the gang began to wait, for the first time or again. */
    long mQueuedAtMs;

    /** How long the gang had waited when it was placed last; running does not count. */
    long mWaitedMs;

    long mPhaseEnteredAtMs;
    long mRenewDueAtMs;
    long mEligibleAtMs;

    /** Time of the STOP after a CHECKPOINT, or {@code Long.MAX_VALUE}. */
    long mStopDueAtMs = Long.MAX_VALUE;

    /** The final state after STOPPING, or null to queue the gang again. */
    JobState mStateAfterStop;

    String mStopReason = "";

    Gang(JobSpec spec, long now) {
        mSpec = spec;
        mSubmittedAtMs = now;
        mQueuedAtMs = now;
    }

    JobId id() {
        return mSpec.id();
    }

    boolean isPlaced() {
        return mPhase != Phase.QUEUED;
    }

    /** Returns whether the last run was stopped, or asked to stop, for another gang. */
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
