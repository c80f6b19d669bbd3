package org.lycheeroad.coordination.roles;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.state.id.EntryId;

/** An input of {@link RoleElection}. */
public sealed interface RoleEvent {
    /**
     * The role's keys were read from the store.
     *
     * @param highestStoredToken the highest token ever stored for the role
     */
    record StoreRead(Optional<StoredRole> holder, long highestStoredToken) implements RoleEvent {}

    /** The store responded to a call sent at the given time. */
    record StoreResponded(long sentAtMillis) implements RoleEvent {}

    /** An {@link RoleAction.Acquire} took effect; its lease was granted at or after the time. */
    record Acquired(long token, long sentAtMillis) implements RoleEvent {}

    /** An {@link RoleAction.Acquire} did not take effect, or its lease was revoked. */
    record AcquireFailed() implements RoleEvent {}

    /** A lease renewal sent at the given time took effect. */
    record LeaseRenewed(long sentAtMillis) implements RoleEvent {}

    /** The lease no longer exists in the store. */
    record LeaseLost() implements RoleEvent {}

    /**
     * A heartbeat arrived from a peer.
     *
     * @param heldToken the token with which the peer holds the role, or 0
     * @param highestSeenToken the highest token of the role that the peer has seen
     */
    record HeartbeatReceived(
            EntryId peer,
            boolean draining,
            long heldToken,
            long highestSeenToken,
            Optional<RoleVote> vote)
            implements RoleEvent {}

    /** A peer was replaced by a new instance; the vote of the old one no longer counts. */
    record PeerReplaced(EntryId peer) implements RoleEvent {}

    /**
     * The entries that take part in the election were determined; they may be the same as before.
     *
     * @param voters all known voters, including this entry
     * @param unresolvedPeers number of configured peers that match no known entry; they may be
     *     voters
     * @param candidates live entries that may hold the role, in order of preference
     */
    record MembersChanged(Set<EntryId> voters, int unresolvedPeers, List<EntryId> candidates)
            implements RoleEvent {}

    /** The draining holder offers the role to this entry. */
    record HandoverOffered(long token) implements RoleEvent {}

    /** A worker or peer refused the token because it knows a higher one. */
    record TokenRefused(long higherToken) implements RoleEvent {}

    /** This entry starts to drain and must give up the role. */
    record DrainStarted() implements RoleEvent {}

    /** Periodic event that lets time-outs take effect. */
    record Tick() implements RoleEvent {}
}
