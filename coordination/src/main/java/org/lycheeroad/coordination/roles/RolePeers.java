package org.lycheeroad.coordination.roles;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.lycheeroad.state.id.EntryId;

/**
 * What the heartbeats of other entries say about a role, and which entries decide about it.
 *
 * <p>Times are in milliseconds of a monotonic clock.
 */
final class RolePeers {
    /** An entry that was heard in this time counts as alive. */
    static final long ALIVE_TIMEOUT_MILLIS = 1_200;

    /** Votes older than this do not count. */
    static final long VOTE_VALIDITY_MILLIS = 1_000;

    private record Peer(
            long lastHeartbeatAtMillis,
            boolean draining,
            long heldToken,
            Optional<RoleVote> vote,
            long voteReceivedAtMillis) {
        boolean isReachable(long now, long silentMillis) {
            return now - lastHeartbeatAtMillis < silentMillis;
        }

        boolean isVoteValid(long now) {
            return now - voteReceivedAtMillis <= VOTE_VALIDITY_MILLIS;
        }
    }

    private final EntryId mSelf;
    private final long mPeerTimeoutMillis;
    private final Map<EntryId, Peer> mPeers = new HashMap<>();
    private Set<EntryId> mVoters = Set.of();
    private List<EntryId> mCandidates = List.of();
    private int mUnresolvedPeers;

    /** Creates the view of an entry to which peers count as silent after a time. */
    RolePeers(EntryId self, long silentMillis) {
        mSelf = self;
        mPeerTimeoutMillis = silentMillis;
    }

    void onHeartbeatReceived(RoleEvent.HeartbeatReceived event, long now) {
        long voteAt = event.vote().isPresent() ? now : 0;
        mPeers.put(
                event.peer(),
                new Peer(now, event.draining(), event.heldToken(), event.vote(), voteAt));
    }

    void onReplaced(EntryId peer) {
        mPeers.remove(peer);
    }

    void onMembersChanged(RoleEvent.MembersChanged event) {
        mVoters = Set.copyOf(event.voters());
        mUnresolvedPeers = event.unresolvedPeers();
        mCandidates = List.copyOf(event.candidates());
    }

    /** Returns this entry's place among the candidates, or their number if it is none. */
    int ownRank() {
        int index = mCandidates.indexOf(mSelf);
        return index < 0 ? mCandidates.size() : index;
    }

    /** Returns the preferred candidate among this entry and the peers that are alive. */
    Optional<EntryId> preferredCandidate(long now) {
        return firstCandidate(c -> c.equals(mSelf) || isAlive(c, now));
    }

    /** Returns the preferred candidate among the peers that are alive. */
    Optional<EntryId> preferredSuccessor(long now) {
        return firstCandidate(c -> !c.equals(mSelf) && isAlive(c, now));
    }

    /** Returns whether a peer was heard recently and does not leave. */
    boolean isAlive(EntryId peer, long now) {
        Peer p = mPeers.get(peer);
        return p != null
                && !p.draining()
                && now - p.lastHeartbeatAtMillis() <= ALIVE_TIMEOUT_MILLIS;
    }

    /** Returns whether a peer said last that it holds the role with this token. */
    boolean reportsHolding(EntryId peer, long token) {
        Peer p = mPeers.get(peer);
        return p != null && p.heldToken() == token;
    }

    /** Returns whether a peer said last that it leaves. */
    boolean isDraining(EntryId peer) {
        Peer p = mPeers.get(peer);
        return p != null && p.draining();
    }

    /** Returns whether a peer was heard before it would count as silent. */
    boolean isReachable(EntryId peer, long now) {
        Peer p = mPeers.get(peer);
        return p != null && p.isReachable(now, mPeerTimeoutMillis);
    }

    /** Returns whether this entry and the voters that it hears are a majority. */
    boolean reachesMajority(long now) {
        long heard = mVoters.stream().filter(v -> isReachable(v, now)).count();
        return heard + 1 >= majority();
    }

    /** Returns the fresh vote of a peer with the highest token. */
    Optional<RoleVote> highestVote(long now) {
        Optional<RoleVote> highest = Optional.empty();
        for (Peer p : mPeers.values()) {
            if (p.vote().isPresent()
                    && p.isVoteValid(now)
                    && p.vote().get().token() > highest.map(RoleVote::token).orElse(0L)) {
                highest = p.vote();
            }
        }
        return highest;
    }

    /** Returns how many voters, with this entry, vote for the candidate with the same token. */
    int countVotes(RoleVote vote, long now) {
        int votes = 1;
        for (Map.Entry<EntryId, Peer> peer : mPeers.entrySet()) {
            Peer p = peer.getValue();
            boolean same = p.vote().filter(vote::equals).isPresent() && p.isVoteValid(now);
            if (same && mVoters.contains(peer.getKey()) && !peer.getKey().equals(mSelf)) {
                votes++;
            }
        }
        return votes;
    }

    /** Returns whether all voters are known and there are two of them. */
    boolean hasExactlyTwoVoters() {
        return mVoters.size() == 2 && mUnresolvedPeers == 0;
    }

    /** Returns how many entries are a majority; a configured peer never heard counts as one. */
    int majority() {
        return (mVoters.size() + mUnresolvedPeers) / 2 + 1;
    }

    private Optional<EntryId> firstCandidate(Predicate<EntryId> filter) {
        return mCandidates.stream().filter(filter).findFirst();
    }
}
