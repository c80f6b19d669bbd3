package org.lycheeroad.coordination.roles;

import org.lycheeroad.state.id.EntryId;

/** What a role election decides. */
public sealed interface RoleAction {
    /**
     * Write this entry as holder to the store, under a new lease.
     *
     * @param replaces the token of the stored holder to replace, or 0 if there must be none
     */
    record Acquire(long token, long replacedToken) implements RoleAction {}

    /** Renew the lease of the store. */
    record RenewLease() implements RoleAction {}

    /** Delete this entry's key from the store. */
    record Release(long token) implements RoleAction {}

    /** This entry may act with the token. */
    record Gained(long token) implements RoleAction {}

    /** This entry must stop acting. */
    record Lost(long token, String reason) implements RoleAction {}

    /** Tell all peers at once about a new vote or token. */
    record Announce() implements RoleAction {}

    /** Ask the peer to take the role over. */
    record OfferHandover(EntryId to, long token) implements RoleAction {}
}
