package org.lycheeroad.scheduler.port;

/** The monotonic clock and the wall clock of a VM. */
public interface Clock {
    /** Returns the monotonic time in milliseconds, counted from an arbitrary origin. */
    long monotonicMs();

    /** Returns the wall-clock time in milliseconds since 1970; it may jump. */
    long wallMs();

    /** Returns the system clocks. */
    static Clock system() {
        return new Clock() {
            @Override
            public long monotonicMs() {
                return System.nanoTime() / 1_000_000;
            }

            @Override
            public long wallMs() {
                return System.currentTimeMillis();
            }
        };
    }
}
