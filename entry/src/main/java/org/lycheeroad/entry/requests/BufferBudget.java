package org.lycheeroad.entry.requests;

import java.util.concurrent.atomic.AtomicLong;

/** Bounds the bytes that all requests together hold in buffers. */
public final class BufferBudget {
    private final long mLimitBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();

    /** Creates a budget of {@code limit} bytes. */
    public BufferBudget(long limit) {
        mLimitBytes = limit;
    }

    /** Reserves bytes; returns false, reserving nothing, when they would exceed the limit. */
    public boolean tryReserve(long bytes) {
        long used = mReservedBytes.addAndGet(bytes);
        if (used > mLimitBytes) {
            mReservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Returns reserved bytes. */
    public void release(long bytes) {
        mReservedBytes.addAndGet(-bytes);
    }

    /** Returns the number of bytes reserved. */
    public long reservedBytes() {
        return mReservedBytes.get();
    }
}
