package org.lycheeroad.coordination.limits;

import java.util.Arrays;

/** Calculations that must give the same result in the role holder and in the entries. */
final class ShareMath {
    /** Duration of a lease; the share of a failed entry is unavailable to others for this long. */
    static final long LEASE_MILLIS = 2_000;

    /** Fraction of a limit that is divided evenly between the entries and needs no lease. */
    static final double BASE_FRACTION = 0.5;

    private ShareMath() {}

    /** Returns the share of a limit that each entry may use without a lease, per second. */
    static double baseShare(double limit, int entries) {
        return limit * BASE_FRACTION / entries;
    }

    /** Returns the part of a limit that is leased to entries by demand, per second. */
    static double leasedPool(double limit) {
        return limit * (1 - BASE_FRACTION);
    }

    /** Divides the pool by max-min fairness; no share exceeds the wanted amount. */
    static double[] maxMinFair(double pool, double[] wanted) {
        double[] sorted = wanted.clone();
        Arrays.sort(sorted);
        double maxShare = Double.MAX_VALUE;
        double remaining = pool;
        for (int i = 0; i < sorted.length; i++) {
            double equalShare = remaining / (sorted.length - i);
            if (sorted[i] > equalShare) {
                maxShare = equalShare;
                break;
            }
            remaining -= sorted[i];
        }
        double[] shares = new double[wanted.length];
        for (int i = 0; i < wanted.length; i++) {
            shares[i] = Math.min(wanted[i], maxShare);
        }
        return shares;
    }
}
