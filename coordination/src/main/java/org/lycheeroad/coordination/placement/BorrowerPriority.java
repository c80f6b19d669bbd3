package org.lycheeroad.coordination.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders borrowers that compete for the same accelerators, both for starting and for preemption.
 *
 * <p>Large gangs come first, then gangs of the team that borrows least relative to its weight, then
 * gangs with more accelerators, then those submitted earlier. A gang's own accelerators do not
 * count towards its team's borrowing, so the order of two gangs does not depend on which of them is
 * placed. Otherwise the two gangs could preempt each other without end.
 */
final class BorrowerPriority {
    /** A gang with at least this many members has priority over all gangs with fewer. */
    private static final int LARGE_GANG_MEMBERS = 16;

    private static final Comparator<Gang> BY_SIZE =
            Comparator.comparingInt((Gang gang) -> -gang.mSpec.shape().accelerators())
                    .thenComparingLong(gang -> gang.mSubmittedAtMs)
                    .thenComparing(gang -> gang.id().value());

    private final TeamShares mShares;

    BorrowerPriority(TeamShares shares) {
        mShares = shares;
    }

    /** Returns whether the first borrower has priority over the second. */
    boolean outranks(Gang first, Gang second) {
        if (isLarge(first) != isLarge(second)) {
            return isLarge(first);
        }
        if (!first.mSpec.team().equals(second.mSpec.team())) {
            int order =
                    Double.compare(
                            mShares.weightedBorrowedWithout(first),
                            mShares.weightedBorrowedWithout(second));
            if (order != 0) {
                return order < 0;
            }
        }
        return BY_SIZE.compare(first, second) < 0;
    }

    /**
     * Returns the gangs in order of priority.
     *
     * <p>Compares all pairs of gangs, which is cheap for the few gangs with claims.
     */
    List<Gang> sorted(List<Gang> gangs) {
        Map<Gang, Long> outrankedBy = new HashMap<>();
        for (Gang gang : gangs) {
            outrankedBy.put(gang, gangs.stream().filter(other -> outranks(other, gang)).count());
        }
        return gangs.stream().sorted(Comparator.comparing(outrankedBy::get)).toList();
    }

    /** Returns whether the gang has priority over all gangs that are not large. */
    static boolean isLarge(Gang gang) {
        return gang.mSpec.shape().workers() >= LARGE_GANG_MEMBERS;
    }
}
