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
    final Map<TeamId, Integer> mCells = new HashMap<>(2);

    /** Waiting gangs for which accelerators of this worker are kept free. */
    final List<Gang> mClaims = new ArrayList<>(0);

    WorkerInfo mInfo;
    int mCellTotal;
    boolean mQuarantined;
    long mAll;
    long mHeld;
    long mForeign;
    long mIncarnation = Long.MIN_VALUE;
    long mSequence = Long.MIN_VALUE;
    long mReportedAt = Long.MIN_VALUE;
    boolean mReported;
    boolean mNeedsReport;
    boolean mSilent;

    WorkerState(WorkerId id) {
        mId = id;
    }

    void setInfo(WorkerInfo info) {
        mInfo = info;
        mAll = info == null ? 0 : maskOf(Math.min(info.accelerators(), MAX_ACCELERATORS));
    }

    /** Returns whether cells may be bound to the worker; one failed call does not move them. */
    boolean isServing() {
        return mInfo != null && mReported && !mSilent && !mQuarantined;
    }

    /** Returns the accelerators of all cells bound to the worker. */
    int cells() {
        return mCellTotal;
    }

    int cellsOf(TeamId team) {
        return mCells.getOrDefault(team, 0);
    }

    void addCells(TeamId team, int count) {
        mCellTotal += count;
        if (mCells.merge(team, count, Integer::sum) == 0) {
            mCells.remove(team);
        }
    }

    /** Returns the accelerators that gangs within the team's guarantee hold or claim. */
    int usedWithinGuarantee(TeamId team) {
        int used = 0;
        for (GangMember member : mMembers) {
            if (member.mGang.mGuaranteed && member.mGang.mSpec.team().equals(team)) {
                used += Long.bitCount(member.mMask);
            }
        }
        for (Gang gang : mClaims) {
            if (gang.mGuaranteed && gang.mSpec.team().equals(team)) {
                used += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return used;
    }

    int heldBy(TeamId team) {
        int held = 0;
        for (GangMember member : mMembers) {
            if (member.mGang.mSpec.team().equals(team)) {
                held += Long.bitCount(member.mMask);
            }
        }
        return held;
    }

    /** Returns the accelerators that waiting gangs claim; {@code guaranteedOnly} skips holds. */
    int claimed(boolean guaranteedOnly) {
        int claimed = 0;
        for (Gang gang : mClaims) {
            if (gang.mGuaranteed || !guaranteedOnly) {
                claimed += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return claimed;
    }

    /** Returns the accelerators claimed within guarantees or by gangs that come before this one. */
    int claimedAhead(Gang claimant, BorrowerPriority order) {
        int claimed = 0;
        for (Gang gang : mClaims) {
            if (gang != claimant && (gang.mGuaranteed || order.outranks(gang, claimant))) {
                claimed += gang.mSpec.shape().acceleratorsPerWorker();
            }
        }
        return claimed;
    }

    /** Returns the accelerators of members that cannot be stopped for someone else. */
    int fixed() {
        int fixed = Long.bitCount(mForeign);
        for (GangMember member : mMembers) {
            if (member.mGang.mGuaranteed || member.mGang.mPhase == Gang.Phase.ADOPTING) {
                fixed += Long.bitCount(member.mMask);
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
    boolean isUsable() {
        return isServing() && !mNeedsReport;
    }

    int capacity() {
        return Long.bitCount(mAll);
    }

    long freeMask() {
        return mAll & ~mHeld & ~mForeign;
    }

    int free() {
        return Long.bitCount(freeMask());
    }

    void forgetTasks() {
        mMembers.clear();
        mClaims.clear();
        mQuarantined = false;
        mHeld = 0;
        mForeign = 0;
        mIncarnation = Long.MIN_VALUE;
        mSequence = Long.MIN_VALUE;
        mReported = false;
        mNeedsReport = false;
        mSilent = false;
    }

    static long maskOf(int count) {
        return count >= MAX_ACCELERATORS ? -1L : (1L << count) - 1;
    }
}
