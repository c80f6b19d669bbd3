package org.lycheeroad.coordination.roles;

/**
 * Allocates fencing tokens. Holders written to the store have even tokens, which are unique by
 * compare-and-swap; holders elected by votes have odd tokens. The two kinds are therefore disjoint.
 */
final class RoleTokens {
    private RoleTokens() {}

    /** Returns the lowest even token greater than {@code token}. */
    static long nextStoreToken(long token) {
        return token % 2 == 0 ? token + 2 : token + 1;
    }

    /** Returns the lowest odd token greater than {@code token}. */
    static long nextVoteToken(long token) {
        return token % 2 == 0 ? token + 1 : token + 2;
    }
}
