package org.lycheeroad.coordination.jobs;

import java.util.List;
import org.lycheeroad.state.work.Resources;
import org.lycheeroad.state.work.StepPlan;

/** Builds steps; properties that are not set have neutral values. */
final class StepBuilder {
    private final int mCount;
    private final Resources mNeed;
    private final long mEstimateMs;
    private boolean mGang;
    private boolean mRackLocal;
    private String mLabel = "";
    private String mDataRack = "";
    private boolean mCheckpointing;
    private boolean mLongRunning;
    private boolean mFills;
    private long mTailTargetMs;
    private int mMayMiss;
    private int mMaxPerWorker;
    private List<Integer> mAfter = List.of();

    private StepBuilder(int count, Resources need, long estimateMs) {
        mCount = count;
        mNeed = need;
        mEstimateMs = estimateMs;
    }

    static StepBuilder step(int count, int accelerators, long estimateMs) {
        return new StepBuilder(count, new Resources(100, 100, accelerators), estimateMs);
    }

    StepBuilder gang() {
        mGang = true;
        return this;
    }

    StepBuilder rackLocal() {
        mRackLocal = true;
        return this;
    }

    StepBuilder label(String label) {
        mLabel = label;
        return this;
    }

    StepBuilder dataRack(String rack) {
        mDataRack = rack;
        return this;
    }

    StepBuilder checkpointing() {
        mCheckpointing = true;
        return this;
    }

    StepBuilder longRunning() {
        mLongRunning = true;
        return this;
    }

    StepBuilder serves(long tailTargetMs) {
        mLongRunning = true;
        mTailTargetMs = tailTargetMs;
        return this;
    }

    /** Makes the tasks long-running; some of them may be kept from running at a time. */
    StepBuilder mayMiss(int count) {
        mLongRunning = true;
        mMayMiss = count;
        return this;
    }

    StepBuilder fills() {
        mFills = true;
        return this;
    }

    StepBuilder maxPerWorker(int count) {
        mMaxPerWorker = count;
        return this;
    }

    StepBuilder after(Integer... steps) {
        mAfter = List.of(steps);
        return this;
    }

    StepPlan build() {
        return new StepPlan(
                mCount,
                mNeed,
                mEstimateMs,
                mAfter,
                mGang,
                mRackLocal,
                mLabel,
                mDataRack,
                mMaxPerWorker,
                mCheckpointing,
                false,
                mLongRunning,
                mFills,
                mTailTargetMs,
                mMayMiss,
                "");
    }
}
