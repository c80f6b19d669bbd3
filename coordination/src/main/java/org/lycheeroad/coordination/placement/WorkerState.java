package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.WorkerInfo;

/** What the owner knows of one worker; accelerators are bits of a mask. */
final class WorkerState {
    /** A mask has 64 bits; further accelerators of a worker are not used. */
    static final int MAX_ACCELERATORS = 64;

    final WorkerId mId;
    final List<GangMember> mMembers = new ArrayList<>(2);
    final Map<TeamId, Integer> mCellAcceleratorsByTeam = new HashMap<>(2);

    /** Waiting gangs for which accelerators of this worker are kept free. */
    final List<Gang> mClaims = new ArrayList<>(0);

    WorkerInfo mInfo;
    int mTotalCellAccelerators;
    boolean mQuarantined;
    long mCapacityMask;
    long mAllocatedMask;
    long mUnknownTaskMask;
    long mIncarnation = Long.MIN_VALUE;
    long mSequence = Long.MIN_VALUE;
    long mReportedAtMs = Long.MIN_VALUE;
    boolean mHasReported;
    boolean mNeedsFreshReport;
    boolean mReportOverdue;

    WorkerState(WorkerId id) {
        mId = id;
    }

    void setInfo(WorkerInfo info) {
        mInfo = info;
        mCapacityMask =
                info == null ? 0 : maskOfFirst(Math.min(info.accelerators(), MAX_ACCELERATORS));
    }

    /** Returns whether cells may be bound to the worker; one failed call does not move them. */
    boolean isHealthy() {
        return mInfo != null && mHasReported && !mReportOverdue && !mQuarantined;
    }

    /** Returns the accelerators of all cells bound to the worker. */
    int totalCellAccelerators() {
        return mTotalCellAccelerators;
    }

    int cellAccelerators(TeamId team) {
        return mCellAcceleratorsByTeam.getOrDefault(team, 0);
    }

    void addCellAccelerators(TeamId team, int count) {
        mTotalCellAccelerators += count;
        if (mCellAcceleratorsByTeam.merge(team, count, Integer::sum) == 0) {
            mCellAcceleratorsByTeam.remove(team);
        }
    }

    /** Returns the accelerators that gangs within the team's guarantee hold or claim. */
    int usedWithinGuarantee(TeamId team) {
        int used = 0;
        for (GangMember member : mMembers) {
            if (member.mGang.mWithinGuarantee && member.mGang.mSpec.team().equals(team)) {
                used += Long.bitCount(member.mAcceleratorMask);
            }
        }
        for (Gang gang : mClaims) {
            if (gang.mWithinGuarantee && gang.mSpec.team().equals(team)) {
                used += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return used;
    }

    int allocatedTo(TeamId team) {
        int held = 0;
        for (GangMember member : mMembers) {
            if (member.mGang.mSpec.team().equals(team)) {
                held += Long.bitCount(member.mAcceleratorMask);
            }
        }
        return held;
    }

    /** Returns the accelerators that waiting gangs claim; {@code guaranteedOnly} skips holds. */
    int claimedAccelerators(boolean guaranteedOnly) {
        int claimed = 0;
        for (Gang gang : mClaims) {
            if (gang.mWithinGuarantee || !guaranteedOnly) {
                claimed += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return claimed;
    }

    /** Returns the accelerators claimed within guarantees or by gangs that come before this one. */
    int claimedWithPriorityOver(Gang claimant, BorrowerPriority order) {
        int claimed = 0;
        for (Gang gang : mClaims) {
            if (gang != claimant && (gang.mWithinGuarantee || order.outranks(gang, claimant))) {
                claimed += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return claimed;
    }

    /** Returns the accelerators of members that cannot be stopped for someone else. */
    int nonReclaimable() {
        int fixed = Long.bitCount(mUnknownTaskMask);
        for (GangMember member : mMembers) {
            if (member.mGang.mWithinGuarantee || member.mGang.mPhase == Gang.Phase.ADOPTING) {
                fixed += Long.bitCount(member.mAcceleratorMask);
            }
        }
        return fixed;
    }

    /** Returns whether a gang here has got beyond its reservations and so needs fresh reports. */
    boolean hasCommittedMembers() {
        for (GangMember member : mMembers) {
            if (member.mGang.mPhase != Gang.Phase.RESERVING) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether new gangs may be put on the worker. */
    boolean acceptsNewGangs() {
        return isHealthy() && !mNeedsFreshReport;
    }

    int capacity() {
        return Long.bitCount(mCapacityMask);
    }

    long freeMask() {
        return mCapacityMask & ~mAllocatedMask & ~mUnknownTaskMask;
    }

    int free() {
        return Long.bitCount(freeMask());
    }

    void reset() {
        mMembers.clear();
        mClaims.clear();
        mQuarantined = false;
        mAllocatedMask = 0;
        mUnknownTaskMask = 0;
        mIncarnation = Long.MIN_VALUE;
        mSequence = Long.MIN_VALUE;
        mHasReported = false;
        mNeedsFreshReport = false;
        mReportOverdue = false;
    }

    static long maskOfFirst(int count) {
        return count >= MAX_ACCELERATORS ? -1L : (1L << count) - 1;
    }
}
