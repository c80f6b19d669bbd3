package org.lycheeroad.coordination.limits;

import java.util.Arrays;

/** Arithmetic that the role holder and the entries must agree on. */
final class ShareMath {
    /** Length of a lease; the share of a dead entry is lost to the others for this long. */
    static final long LEASE_MILLIS = 2_000;

    /** Part of a limit that is split evenly and needs no lease. */
    static final double BASE_FRACTION = 0.5;

    private ShareMath() {}

    /** Returns the part of a limit that each entry can always use, in requests per second. */
    static double baseShare(double limit, int entries) {
        return limit * BASE_FRACTION / entries;
    }

    /** Returns the part of a limit that is leased, in requests per second. */
    static double leasedPool(double limit) {
        return limit * (1 - BASE_FRACTION);
    }

    /** Divides the pool by max-min fairness: nobody gets more than it wants. */
    static double[] maxMinFair(double pool, double[] wanted) {
        double[] sorted = wanted.clone();
        Arrays.sort(sorted);
        double level = Double.MAX_VALUE;
        double rest = pool;
        for (int i = 0; i < sorted.length; i++) {
            double even = rest / (sorted.length - i);
            if (sorted[i] > even) {
                level = even;
                break;
            }
            rest -= sorted[i];
        }
        double[] result = new double[wanted.length];
        for (int i = 0; i < wanted.length; i++) {
            result[i] = Math.min(wanted[i], level);
        }
        return result;
    }
}
