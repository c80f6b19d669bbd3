package org.lycheeroad.coordination.roles;

/**
 * Chooses fencing tokens: even ones come from the store, where compare-and-swap makes them unique,
 * and odd ones from votes, so that the two ways never give out the same token.
 */
final class RoleTokens {
    private RoleTokens() {}

    /** Returns the lowest token above another that a write to the store may claim. */
    static long nextStoreToken(long token) {
        return token % 2 == 0 ? token + 2 : token + 1;
    }

    /** Returns the lowest token above another that votes may be cast for. */
    static long nextVoteToken(long token) {
        return token % 2 == 0 ? token + 1 : token + 2;
    }
}
