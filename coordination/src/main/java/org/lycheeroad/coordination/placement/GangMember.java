package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.state.task.TaskState;

/** One member of a placed gang: the accelerators of one worker. */
final class GangMember {
    final Gang mGang;
    final int mIndex;
    final WorkerState mWorker;
    final long mAcceleratorMask;
    TaskState mReportedState;
    boolean mAnswered;
    boolean mReleased;
    int mReserveSendCount;
    long mSentAtMs;
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
        List<Integer> list = new ArrayList<>(Long.bitCount(mAcceleratorMask));
        for (long rest = mAcceleratorMask; rest != 0; rest &= rest - 1) {
            list.add(Long.numberOfTrailingZeros(rest));
        }
        return list;
    }
}
