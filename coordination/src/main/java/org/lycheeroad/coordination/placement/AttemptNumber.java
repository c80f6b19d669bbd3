package org.lycheeroad.coordination.placement;

/**
 * Numbers attempts so that two owners never use the same number for one job.
 *
 * <p>The number holds the owner's fencing token, a placement count and the run it belongs to. A new
 * owner thus tells tasks of its predecessors from its own and knows how many runs have failed.
 */
final class AttemptNumber {
    private static final int RUN_VALUES = 10;
    private static final int PLACEMENT_VALUES = 1_000;
    private static final int VALUES_PER_OWNER = RUN_VALUES * PLACEMENT_VALUES;
    private static final int OWNER_VALUES = Integer.MAX_VALUE / VALUES_PER_OWNER;

    private AttemptNumber() {}

    /** Returns the number of a placement; {@code runNumber} counts from 1. */
    static int of(long token, int placement, int run) {
        return ownerNumber(token) * VALUES_PER_OWNER
                + placement % PLACEMENT_VALUES * RUN_VALUES
                + Math.min(run, 9);
    }

    /** Returns the run, counted from 1. */
    static int runNumber(int attempt) {
        return Math.max(1, attempt % RUN_VALUES);
    }

    /** Returns whether the attempt was made under the token. */
    static boolean wasIssuedUnder(int attempt, long token) {
        return attempt / VALUES_PER_OWNER == ownerNumber(token);
    }

    private static int ownerNumber(long token) {
        return (int) Math.floorMod(token, (long) OWNER_VALUES);
    }
}
