package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.WorkerInfo;

/** The owner's view of one worker; each accelerator is a bit of a mask. */
final class WorkerState {
    /** Accelerators of a worker beyond the 64 bits of a mask are not used. */
    static final int MAX_ACCELERATORS = 64;

    final WorkerId mId;
    final List<GangMember> mMembers = new ArrayList<>(2);
    final Map<TeamId, Integer> mCellAcceleratorsByTeam = new HashMap<>(2);

    /** Waiting gangs with a claim on this worker. */
    final List<Gang> mClaims = new ArrayList<>(0);

    /** The worker's entry in the list, or null if it is not listed. */
    WorkerInfo mInfo;

    int mTotalCellAccelerators;
    boolean mQuarantined;
    long mCapacityMask;
    long mAllocatedMask;

    /** Accelerators that reported tasks of no known attempt hold until they have stopped. */
    long mUnknownTaskMask;

    long mIncarnation = Long.MIN_VALUE;
    long mSequence = Long.MIN_VALUE;
    long mReportedAtMs = Long.MIN_VALUE;
    boolean mHasReported;

    /** True after a failed call or a refused reservation, until the next report. */
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

    /**
     * Returns whether cells may be bound to the worker.
     *
     * <p>Unlike {@link #acceptsNewGangs}, it does not depend on single failed calls, so that these
     * do not move cells.
     */
    boolean isHealthy() {
        return mInfo != null && mHasReported && !mReportOverdue && !mQuarantined;
    }

    /** Returns the number of accelerators of all cells bound to the worker. */
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

    /**
     * Returns the number of accelerators that the team's gangs use or claim within its guarantee.
     */
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

    /**
     * Returns the number of accelerators that waiting gangs claim.
     *
     * @param guaranteedOnly whether to leave out claims of borrowers
     */
    int claimedAccelerators(boolean guaranteedOnly) {
        int claimed = 0;
        for (Gang gang : mClaims) {
            if (gang.mWithinGuarantee || !guaranteedOnly) {
                claimed += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return claimed;
    }

    /**
     * Returns the number of accelerators that other gangs claim within guarantees or with a higher
     * priority than the claimant.
     */
    int claimedWithPriorityOver(Gang claimant, BorrowerPriority order) {
        int claimed = 0;
        for (Gang gang : mClaims) {
            if (gang != claimant && (gang.mWithinGuarantee || order.outranks(gang, claimant))) {
                claimed += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return claimed;
    }

    /** Returns the number of accelerators whose tasks cannot be stopped for another gang. */
    int nonReclaimable() {
        int fixed = Long.bitCount(mUnknownTaskMask);
        for (GangMember member : mMembers) {
            if (member.mGang.mWithinGuarantee || member.mGang.mPhase == Gang.Phase.ADOPTING) {
                fixed += Long.bitCount(member.mAcceleratorMask);
            }
        }
        return fixed;
    }

    /** Returns whether a gang on the worker is past its reservations and so needs fresh reports. */
    boolean hasCommittedMembers() {
        for (GangMember member : mMembers) {
            if (member.mGang.mPhase != Gang.Phase.RESERVING) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether new gangs may be placed on the worker. */
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
