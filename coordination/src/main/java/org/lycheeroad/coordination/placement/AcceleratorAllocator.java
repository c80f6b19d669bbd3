package org.lycheeroad.coordination.placement;

/** Records which accelerators the members of placed gangs hold. */
final class AcceleratorAllocator {
    private long mReleaseCount;

    /** Holds the accelerators of a member from its reservation until its release. */
    void allocate(GangMember member) {
        member.mWorker.mAllocatedMask |= member.mAcceleratorMask;
        member.mWorker.mMembers.add(member);
    }

    /** Frees the accelerators of a member that has certainly stopped. */
    void release(GangMember member) {
        if (member.mReleased) {
            return;
        }
        member.mReleased = true;
        WorkerState worker = member.mWorker;
        worker.mMembers.remove(member);
        worker.mAllocatedMask = 0;
        for (GangMember other : worker.mMembers) {
            worker.mAllocatedMask |= other.mAcceleratorMask;
        }
        mReleaseCount++;
    }

    /** Returns a count that grows with every release. */
    long releaseCount() {
        return mReleaseCount;
    }
}
