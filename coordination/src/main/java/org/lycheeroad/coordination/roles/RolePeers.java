package org.lycheeroad.coordination.roles;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.lycheeroad.state.id.EntryId;

/**
 * What the heartbeats of other entries report about a role, and the voters and candidates for it.
 *
 * <p>Times are in milliseconds of a monotonic clock.
 */
final class RolePeers {
    /** A peer is alive if its last heartbeat is at most this old and it is not draining. */
    static final long ALIVE_TIMEOUT_MILLIS = 1_200;

    /** Votes received longer ago than this are not counted. */
    static final long VOTE_VALIDITY_MILLIS = 1_000;

    /** The contents of a peer's last heartbeat. */
    private record Peer(
            long lastHeartbeatAtMillis,
            boolean draining,
            long heldToken,
            Optional<RoleVote> vote,
            long voteReceivedAtMillis) {
        boolean isReachable(long nowMillis, long timeoutMillis) {
            return nowMillis - lastHeartbeatAtMillis < timeoutMillis;
        }

        boolean isVoteValid(long nowMillis) {
            return nowMillis - voteReceivedAtMillis <= VOTE_VALIDITY_MILLIS;
        }
    }

    private final EntryId mSelf;
    private final long mPeerTimeoutMillis;
    private final Map<EntryId, Peer> mPeers = new HashMap<>();
    private Set<EntryId> mVoters = Set.of();
    private List<EntryId> mCandidates = List.of();
    private int mUnresolvedPeers;

    /**
     * Creates the view of one entry, which knows no peers yet.
     *
     * @param peerTimeoutMillis the time without a heartbeat after which a peer is unreachable
     */
    RolePeers(EntryId self, long peerTimeoutMillis) {
        mSelf = self;
        mPeerTimeoutMillis = peerTimeoutMillis;
    }

    void onHeartbeatReceived(RoleEvent.HeartbeatReceived event, long nowMillis) {
        long voteReceivedAtMillis = event.vote().isPresent() ? nowMillis : 0;
        mPeers.put(
                event.peer(),
                new Peer(
                        nowMillis,
                        event.draining(),
                        event.heldToken(),
                        event.vote(),
                        voteReceivedAtMillis));
    }

    void onReplaced(EntryId peer) {
        mPeers.remove(peer);
    }

    void onMembersChanged(RoleEvent.MembersChanged event) {
        mVoters = Set.copyOf(event.voters());
        mUnresolvedPeers = event.unresolvedPeers();
        mCandidates = List.copyOf(event.candidates());
    }

    /** Returns this entry's index in the candidates, or their number if it is not a candidate. */
    int ownRank() {
        int index = mCandidates.indexOf(mSelf);
        return index < 0 ? mCandidates.size() : index;
    }

    /** Returns the first candidate that is this entry or a live peer. */
    Optional<EntryId> preferredCandidate(long nowMillis) {
        return firstCandidate(c -> c.equals(mSelf) || isAlive(c, nowMillis));
    }

    /** Returns the first candidate that is a live peer, to which the role can be handed over. */
    Optional<EntryId> preferredSuccessor(long nowMillis) {
        return firstCandidate(c -> !c.equals(mSelf) && isAlive(c, nowMillis));
    }

    /** Returns whether a peer has sent a heartbeat recently and is not draining. */
    boolean isAlive(EntryId peer, long nowMillis) {
        Peer state = mPeers.get(peer);
        return state != null
                && !state.draining()
                && nowMillis - state.lastHeartbeatAtMillis() <= ALIVE_TIMEOUT_MILLIS;
    }

    /** Returns whether a peer's last heartbeat reports that it holds the role with this token. */
    boolean reportsHolding(EntryId peer, long token) {
        Peer state = mPeers.get(peer);
        return state != null && state.heldToken() == token;
    }

    /** Returns whether a peer's last heartbeat reports that it is draining. */
    boolean isDraining(EntryId peer) {
        Peer state = mPeers.get(peer);
        return state != null && state.draining();
    }

    /** Returns whether a heartbeat from a peer has arrived within the peer timeout. */
    boolean isReachable(EntryId peer, long nowMillis) {
        Peer state = mPeers.get(peer);
        return state != null && state.isReachable(nowMillis, mPeerTimeoutMillis);
    }

    /** Returns whether this entry and the reachable voters are a majority. */
    boolean reachesMajority(long nowMillis) {
        long reachable = mVoters.stream().filter(v -> isReachable(v, nowMillis)).count();
        return reachable + 1 >= majority();
    }

    /** Returns the valid vote with the highest token among those of the peers. */
    Optional<RoleVote> highestVote(long nowMillis) {
        Optional<RoleVote> highest = Optional.empty();
        for (Peer peer : mPeers.values()) {
            if (peer.vote().isPresent()
                    && peer.isVoteValid(nowMillis)
                    && peer.vote().get().token() > highest.map(RoleVote::token).orElse(0L)) {
                highest = peer.vote();
            }
        }
        return highest;
    }

    /** Returns the number of voters with the same vote, including this entry. */
    int countVotes(RoleVote vote, long nowMillis) {
        int votes = 1;
        for (Map.Entry<EntryId, Peer> entry : mPeers.entrySet()) {
            Peer peer = entry.getValue();
            boolean sameVote =
                    peer.vote().filter(vote::equals).isPresent() && peer.isVoteValid(nowMillis);
            if (sameVote && mVoters.contains(entry.getKey()) && !entry.getKey().equals(mSelf)) {
                votes++;
            }
        }
        return votes;
    }

    /** Returns whether there are exactly two voters and all configured peers are known. */
    boolean hasExactlyTwoVoters() {
        return mVoters.size() == 2 && mUnresolvedPeers == 0;
    }

    /** Returns the size of a majority; each unresolved configured peer counts as a voter. */
    int majority() {
        return (mVoters.size() + mUnresolvedPeers) / 2 + 1;
    }

    private Optional<EntryId> firstCandidate(Predicate<EntryId> filter) {
        return mCandidates.stream().filter(filter).findFirst();
    }
}
