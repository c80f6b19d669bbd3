package org.lycheeroad.state.work;

/**
 * An amount of each resource of a worker.
 *
 * @param cpuMillis processor time in thousandths of a core
 * @param memoryMb memory in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(int cpuMillis, int memoryMb, int accelerators) {
    /** Nothing of each. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the sum of both. */
    public Resources plus(Resources other) {
        return new Resources(
                cpuMillis + other.cpuMillis,
                memoryMb + other.memoryMb,
                accelerators + other.accelerators);
    }

    /** Returns what is left after taking another amount, which may be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                cpuMillis - other.cpuMillis,
                memoryMb - other.memoryMb,
                accelerators - other.accelerators);
    }

    /** Returns this amount several times. */
    public Resources times(int factor) {
        return new Resources(cpuMillis * factor, memoryMb * factor, accelerators * factor);
    }

    /** Returns whether this amount is within another in each resource. */
    public boolean fitsIn(Resources room) {
        return cpuMillis <= room.cpuMillis
                && memoryMb <= room.memoryMb
                && accelerators <= room.accelerators;
    }

    /** Returns how many times this amount fits into a room, at most {@code most}. */
    public int maxCopiesIn(Resources room, int most) {
        int times = most;
        if (cpuMillis > 0) {
            times = Math.min(times, room.cpuMillis / cpuMillis);
        }
        if (memoryMb > 0) {
            times = Math.min(times, room.memoryMb / memoryMb);
        }
        if (accelerators > 0) {
            times = Math.min(times, room.accelerators / accelerators);
        }
        return Math.max(0, times);
    }
}
