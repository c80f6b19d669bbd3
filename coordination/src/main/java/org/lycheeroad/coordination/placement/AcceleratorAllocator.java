package org.lycheeroad.coordination.placement;

/** Allocates accelerators of workers to the members of placed gangs. */
final class AcceleratorAllocator {
    private long mReleaseCount;

    /** Marks the accelerators of a member as allocated until {@link #release}. */
    void allocate(GangMember member) {
        member.mWorker.mAllocatedMask |= member.mAcceleratorMask;
        member.mWorker.mMembers.add(member);
    }

    /**
     * Frees the accelerators of a member. The caller must be sure that its task no longer runs.
     *
     * <p>The mask is recomputed from the members that remain, as masks may overlap: a finished task
     * is adopted with its accelerators, which another task may use by then.
     */
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

    /** Returns the number of releases so far. */
    long releaseCount() {
        return mReleaseCount;
    }
}
