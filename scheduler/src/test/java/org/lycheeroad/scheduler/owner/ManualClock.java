package org.lycheeroad.scheduler.owner;

import java.util.concurrent.atomic.AtomicLong;
import org.lycheeroad.scheduler.port.Clock;

/** Clocks that the test sets. */
final class ManualClock implements Clock {
    private final AtomicLong mSteady = new AtomicLong(1_000);
    private final AtomicLong mWall = new AtomicLong(1_700_000_000_000L);

    @Override
    public long monotonicMs() {
        return mSteady.get();
    }

    @Override
    public long wallMs() {
        return mWall.get();
    }

    /** Lets time pass for both clocks. */
    void pass(long ms) {
        mSteady.addAndGet(ms);
        mWall.addAndGet(ms);
    }

    /** Lets time pass for the time of day only. */
    void suspend(long ms) {
        mWall.addAndGet(ms);
    }
}
