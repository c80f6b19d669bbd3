package org.lycheeroad.scheduler.owner;

import java.util.concurrent.atomic.AtomicLong;
import org.lycheeroad.scheduler.port.Clock;

/** Clocks that the test sets. */
final class ManualClock implements Clock {
    private final AtomicLong mMonotonicMs = new AtomicLong(1_000);
    private final AtomicLong mWallMs = new AtomicLong(1_700_000_000_000L);

    @Override
    public long monotonicMs() {
        return mMonotonicMs.get();
    }

    @Override
    public long wallMs() {
        return mWallMs.get();
    }

    /** Lets time pass for both clocks. */
    void advance(long ms) {
        mMonotonicMs.addAndGet(ms);
        mWallMs.addAndGet(ms);
    }

    /** Lets time pass for the time of day only. */
    void suspendVm(long ms) {
        mWallMs.addAndGet(ms);
    }
}
