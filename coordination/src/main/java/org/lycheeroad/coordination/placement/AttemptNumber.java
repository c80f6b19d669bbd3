package org.lycheeroad.coordination.placement;

/**
 * Encodes the owner, the placement and the run of an attempt in one number.
 *
 * <p>The number is made of the owner's fencing token, a count of placements and the number of the
 * run, each modulo the range that fits. It lets a new owner distinguish tasks of previous owners
 * from its own, and recover how many runs of a job have failed.
 */
final class AttemptNumber {
    // Number of distinct values of each part of an attempt number.
    private static final int RUN_VALUES = 10;
    private static final int PLACEMENT_VALUES = 1_000;
    private static final int VALUES_PER_OWNER = RUN_VALUES * PLACEMENT_VALUES;
    private static final int OWNER_VALUES = Integer.MAX_VALUE / VALUES_PER_OWNER;

    private AttemptNumber() {}

    /** Encodes an attempt number; {@code run} counts from 1 and is capped at 9. */
    static int of(long fencingToken, int placement, int run) {
        return ownerNumber(fencingToken) * VALUES_PER_OWNER
                + placement % PLACEMENT_VALUES * RUN_VALUES
                + Math.min(run, 9);
    }

    /** Returns the number of the run, counted from 1. */
    static int runNumber(int attempt) {
        return Math.max(1, attempt % RUN_VALUES);
    }

    /** Returns whether the attempt was numbered by the owner with the fencing token. */
    static boolean wasIssuedUnder(int attempt, long fencingToken) {
        return attempt / VALUES_PER_OWNER == ownerNumber(fencingToken);
    }

    private static int ownerNumber(long fencingToken) {
        return (int) Math.floorMod(fencingToken, (long) OWNER_VALUES);
    }
}
