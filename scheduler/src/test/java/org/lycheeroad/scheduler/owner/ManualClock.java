package org.lycheeroad.scheduler.owner;

import java.util.concurrent.atomic.AtomicLong;
import org.lycheeroad.scheduler.port.Clock;

/** A clock that the test advances. */
final class ManualClock implements Clock {
    private final AtomicLong mMonotonicMs = new AtomicLong(1_000);
    private final AtomicLong mPauseMs = new AtomicLong();
    private final AtomicLong mWallMs = new AtomicLong(1_700_000_000_000L);

    @Override
    public long monotonicMs() {
        return mMonotonicMs.get();
    }

    @Override
    public long wallMs() {
        long wallMs = mWallMs.get();
        advance(mPauseMs.getAndSet(0));
        return wallMs;
    }

    /** Simulates a pause of the process right after its next look at the wall clock. */
    void advanceAfterNextWallRead(long ms) {
        mPauseMs.set(ms);
    }

    /** Advances the monotonic and the wall clock. */
    void advance(long ms) {
        mMonotonicMs.addAndGet(ms);
        mWallMs.addAndGet(ms);
    }

    /** Advances only the wall clock, as a suspension of the VM does. */
    void suspendVm(long ms) {
        mWallMs.addAndGet(ms);
    }
}
