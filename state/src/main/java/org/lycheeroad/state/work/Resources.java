package org.lycheeroad.state.work;

/**
 * Quantities of the resources of a worker.
 *
 * @param cpuMillis processor time in thousandths of a core
 * @param memoryMb memory in megabytes
 * @param accelerators whole accelerators
 */
public record Resources(int cpuMillis, int memoryMb, int accelerators) {
    /** No resources. */
    public static final Resources NONE = new Resources(0, 0, 0);

    /** Returns the sum of the two quantities. */
    public Resources plus(Resources other) {
        return ofLongs(
                (long) cpuMillis + other.cpuMillis,
                (long) memoryMb + other.memoryMb,
                (long) accelerators + other.accelerators);
    }

    /** Returns the difference of the two quantities, which may be negative. */
    public Resources minus(Resources other) {
        return ofLongs(
                (long) cpuMillis - other.cpuMillis,
                (long) memoryMb - other.memoryMb,
                (long) accelerators - other.accelerators);
    }

    /** Returns the quantities multiplied by a factor. */
    public Resources times(int factor) {
        return ofLongs(
                (long) cpuMillis * factor, (long) memoryMb * factor, (long) accelerators * factor);
    }

    /** Limits quantities to 32 bits, so that a sum never changes its sign by an overflow. */
    private static Resources ofLongs(long cpuMillis, long memoryMb, long accelerators) {
        return new Resources(clamp(cpuMillis), clamp(memoryMb), clamp(accelerators));
    }

    private static int clamp(long quantity) {
        return (int) Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, quantity));
    }

    /** Returns whether no resource exceeds the available quantity. */
    public boolean fitsIn(Resources available) {
        return cpuMillis <= available.cpuMillis
                && memoryMb <= available.memoryMb
                && accelerators <= available.accelerators;
    }

    /** Returns the largest share of any of these resources that another quantity takes. */
    public double shareOf(Resources part) {
        return Math.max(
                ratio(part.accelerators, accelerators),
                Math.max(ratio(part.cpuMillis, cpuMillis), ratio(part.memoryMb, memoryMb)));
    }

    private static double ratio(int part, int whole) {
        return whole <= 0 ? 0 : (double) part / whole;
    }

    /** Returns how many copies fit into the available quantities, at most {@code limit}. */
    public int maxCopiesIn(Resources available, int limit) {
        int copies = limit;
        if (cpuMillis > 0) {
            copies = Math.min(copies, available.cpuMillis / cpuMillis);
        }
        if (memoryMb > 0) {
            copies = Math.min(copies, available.memoryMb / memoryMb);
        }
        if (accelerators > 0) {
            copies = Math.min(copies, available.accelerators / accelerators);
        }
        return Math.max(0, copies);
    }
}
