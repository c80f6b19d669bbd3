package org.lycheeroad.coordination.roles;

import org.lycheeroad.state.id.EntryId;

/** An action that {@link RoleElection} requests from its caller. */
public sealed interface RoleAction {
    /**
     * Write this entry to the store as holder, under a new lease.
     *
     * @param replacedToken the token of the stored holder to replace, or 0 if the store must name
     *     no holder
     */
    record Acquire(long token, long replacedToken) implements RoleAction {}

    /** Renew the store lease of the holder's key. */
    record RenewLease() implements RoleAction {}

    /** Delete the holder's key of this entry from the store. */
    record Release(long token) implements RoleAction {}

    /** This entry is the holder and may act with the token. */
    record Gained(long token) implements RoleAction {}

    /** This entry must stop acting as holder. */
    record Lost(long token, String reason) implements RoleAction {}

    /** Send all peers a heartbeat at once, as the vote or the token has changed. */
    record Announce() implements RoleAction {}

    /** Offer the role to a peer while this entry drains. */
    record OfferHandover(EntryId to, long token) implements RoleAction {}
}
