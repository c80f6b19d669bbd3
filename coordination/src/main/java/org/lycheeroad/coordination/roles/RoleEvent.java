package org.lycheeroad.coordination.roles;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.state.id.EntryId;

/** What a role election learns. */
public sealed interface RoleEvent {
    /**
     * The store's view of the role.
     *
     * @param counter the highest token that was ever stored
     */
    record StoreRead(Optional<StoredRole> holder, long highestStoredToken) implements RoleEvent {}

    /** The store answered a call that was sent at the time. */
    record StoreResponded(long sentAtMillis) implements RoleEvent {}

    /** An {@link RoleAction.Acquire} took effect; its lease was granted at the time or later. */
    record Acquired(long token, long sentAtMillis) implements RoleEvent {}

    /** An {@link RoleAction.Acquire} did not take effect, or the lease was given up. */
    record AcquireFailed() implements RoleEvent {}

    /** A renewal that was sent at the time took effect. */
    record LeaseRenewed(long sentAtMillis) implements RoleEvent {}

    /** The store no longer knows the lease. */
    record LeaseLost() implements RoleEvent {}

    /**
     * A heartbeat of a peer arrived.
     *
     * @param holds the token with which the peer holds the role, or 0
     * @param seenToken the highest token of the role that the peer knows
     */
    record HeartbeatReceived(
            EntryId peer,
            boolean draining,
            long heldToken,
            long highestSeenToken,
            Optional<RoleVote> vote)
            implements RoleEvent {}

    /** A peer was replaced by a new instance, whose predecessor's vote no longer counts. */
    record PeerReplaced(EntryId peer) implements RoleEvent {}

    /**
     * The entries that decide about the role.
     *
     * @param voters all known entries that decide, with this one
     * @param unresolved configured peers that were never heard and may be voters
     * @param candidates live entries that may hold the role, in the order of preference
     */
    record MembersChanged(Set<EntryId> voters, int unresolvedPeers, List<EntryId> candidates)
            implements RoleEvent {}

    /** The holder offers the role to this entry. */
    record HandoverOffered(long token) implements RoleEvent {}

    /** A worker or peer refused the token because it knows a higher one. */
    record TokenRefused(long higherToken) implements RoleEvent {}

    /** This entry leaves. */
    record DrainStarted() implements RoleEvent {}

    /** Time passed. */
    record Tick() implements RoleEvent {}
}
