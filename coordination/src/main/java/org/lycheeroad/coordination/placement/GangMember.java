package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.state.task.TaskState;

/** A member of a placed gang with the accelerators that it uses on one worker. */
final class GangMember {
    final Gang mGang;
    final int mIndex;
    final WorkerState mWorker;
    final long mAcceleratorMask;

    /** State in the last report, or null if the task was not reported yet. */
    TaskState mReportedState;

    /** True when the worker has acknowledged the order of the gang's current phase. */
    boolean mAnswered;

    /** True when the accelerators no longer count as allocated to the member. */
    boolean mReleased;

    int mReserveSendCount;
    long mSentAtMs;

    /**
     * Time after which the task cannot hold the accelerators, even if the worker is unreachable.
     */
    long mHeldUntilMs;

    GangMember(Gang gang, int index, WorkerState worker, long mask) {
        mGang = gang;
        mIndex = index;
        mWorker = worker;
        mAcceleratorMask = mask;
    }

    boolean isDone() {
        return mReportedState == TaskState.DONE;
    }

    List<Integer> accelerators() {
        List<Integer> accelerators = new ArrayList<>(Long.bitCount(mAcceleratorMask));
        for (long remaining = mAcceleratorMask; remaining != 0; remaining &= remaining - 1) {
            accelerators.add(Long.numberOfTrailingZeros(remaining));
        }
        return accelerators;
    }
}
