package org.lycheeroad.entry.requests;

import java.util.concurrent.atomic.AtomicLong;

/** Limits the total size of the buffers of all requests. */
public final class BufferBudget {
    private final long mLimitBytes;
    private final AtomicLong mReservedBytes = new AtomicLong();

    /** Creates a budget with a limit in bytes. */
    public BufferBudget(long limitBytes) {
        mLimitBytes = limitBytes;
    }

    /** Reserves bytes, or returns false and reserves nothing if the limit would be exceeded. */
    public boolean tryReserve(long bytes) {
        long reservedBytes = mReservedBytes.addAndGet(bytes);
        if (reservedBytes > mLimitBytes) {
            mReservedBytes.addAndGet(-bytes);
            return false;
        }
        return true;
    }

    /** Releases reserved bytes. */
    public void release(long bytes) {
        mReservedBytes.addAndGet(-bytes);
    }

    /** Returns the number of bytes currently reserved. */
    public long reservedBytes() {
        return mReservedBytes.get();
    }
}
