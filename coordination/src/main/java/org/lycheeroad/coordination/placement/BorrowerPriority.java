package org.lycheeroad.coordination.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Orders borrowers that want the same accelerators; the same order decides who starts and who
 * stops.
 *
 * <p>Large gangs come first, then those of the team that borrows least for its weight, then larger
 * ones. A gang does not count towards its own team's share, so the order of two gangs is the same
 * whichever of them is placed. Otherwise each of them could stop the other in turn without end.
 */
final class BorrowerPriority {
    /** Gangs with so many members are not pushed out by smaller ones. */
    private static final int LARGE_GANG_MEMBERS = 16;

    private static final Comparator<Gang> BY_SIZE =
            Comparator.comparingInt((Gang gang) -> -gang.mSpec.shape().accelerators())
                    .thenComparingLong(gang -> gang.mSubmittedAtMs)
                    .thenComparing(gang -> gang.id().value());

    private final TeamShares mShares;

    BorrowerPriority(TeamShares shares) {
        mShares = shares;
    }

    /** Returns whether the first borrower comes before the second. */
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

    /** Returns the gangs in this order; they are few. */
    List<Gang> sorted(List<Gang> gangs) {
        Map<Gang, Long> ahead = new HashMap<>();
        for (Gang gang : gangs) {
            ahead.put(gang, gangs.stream().filter(other -> outranks(other, gang)).count());
        }
        return gangs.stream().sorted(Comparator.comparing(ahead::get)).toList();
    }

    /** Returns whether smaller gangs always give way to the gang. */
    static boolean isLarge(Gang gang) {
        return gang.mSpec.shape().workers() >= LARGE_GANG_MEMBERS;
    }
}
