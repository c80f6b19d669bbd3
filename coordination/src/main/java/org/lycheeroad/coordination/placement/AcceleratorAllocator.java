package org.lycheeroad.coordination.placement;

/** Records which accelerators the members of placed gangs hold. */
final class AcceleratorAllocator {
    private long mReleases;

    /** Holds the accelerators of a member from its reservation until its release. */
    void hold(GangMember member) {
        member.mWorker.mHeld |= member.mMask;
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
        worker.mHeld = 0;
        for (GangMember other : worker.mMembers) {
            worker.mHeld |= other.mMask;
        }
        mReleases++;
    }

    /** Returns a count that grows with every release. */
    long releases() {
        return mReleases;
    }
}
