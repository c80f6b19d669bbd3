package org.lycheeroad.coordination.roles;

/**
 * Settings of a role election; times are in milliseconds.
 *
 * @param leaseMillis duration of the store lease
 * @param renewalIntervalMillis interval between lease renewals
 * @param maxPauseMillis longest gap between two events; after a longer one a holder is suspended
 *     until it has renewed its lease
 * @param peerTimeoutMillis time without a heartbeat after which a peer is unreachable
 * @param storeTimeoutMillis time without a response after which the store is unreachable
 * @param needsMajority whether a holder without a store lease must reach a majority of the entries
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
     * <p>Its holder keeps the role without the store and without a majority: should another entry
     * gain the role, workers refuse the older token.
     */
    public static RoleSettings placement() {
        return new RoleSettings(2_000, 500, 1_000, 2_000, 1_500, false);
    }

    /**
     * Returns the settings of the role that allocates shares of the limits.
     *
     * <p>Its holder needs a majority, as the use of limits is not protected by fencing tokens.
     */
    public static RoleSettings limits() {
        return new RoleSettings(2_000, 500, 1_000, 2_000, 1_500, true);
    }
}
