package org.lycheeroad.scheduler.port;

/** The two clocks of a VM. */
public interface Clock {
    /** Returns milliseconds of the steady clock. */
    long monotonicMs();

    /** Returns the time of day in milliseconds since 1970, which may jump. */
    long wallMs();

    /** Returns the clocks of this process. */
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
