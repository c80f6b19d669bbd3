package org.lycheeroad.coordination.roles;

/**
 * The times of a role election, in milliseconds.
 *
 * @param leaseMillis the length of the store lease
 * @param renewalIntervalMillis the time between two renewals
 * @param maxPauseMillis a longer gap between two events makes a holder stop until it has renewed
 * @param peerTimeoutMillis a holder that was not heard for this long counts as silent
 * @param storeTimeoutMillis the store counts as down when it has not answered for this long
 * @param needsMajority whether a holder without the store must hear a majority of the entries
 */
public record RoleSettings(
        long leaseMillis,
        long renewalIntervalMillis,
        long maxPauseMillis,
        long peerTimeoutMillis,
        long storeTimeoutMillis,
        boolean needsMajority) {
    /**
     * Returns the settings of a placement role.
     *
     * <p>Its holder goes on without the store and without a majority, because workers refuse an
     * older token.
     */
    public static RoleSettings placement() {
        return new RoleSettings(2_000, 500, 1_000, 2_000, 1_500, false);
    }

    /** Returns the settings of the role that hands out limits, which nothing fences. */
    public static RoleSettings limits() {
        return new RoleSettings(2_000, 500, 1_000, 2_000, 1_500, true);
    }
}
