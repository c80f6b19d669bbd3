package org.lycheeroad.coordination.roles;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lycheeroad.state.id.EntryId;

/**
 * Elects a holder by votes while the store does not answer.
 *
 * <p>A majority of the known entries that do not hear the holder vote for the live entry with the
 * lowest id. Times are in milliseconds of a monotonic clock.
 */
final class QuorumElection {
    /** A new instance does not vote until its predecessor's votes no longer count anywhere. */
    static final long VOTING_DELAY_AFTER_START_MILLIS = 4_000;

    private final EntryId mSelf;
    private final RoleSettings mSettings;
    private final long mStartedAtMillis;
    private final RolePeers mPeers;
    private final HighestToken mHighestToken;
    private final LocalVote mLocalVote = new LocalVote();

    QuorumElection(
            EntryId self,
            RoleSettings settings,
            long startedAt,
            RolePeers peers,
            HighestToken highest) {
        mSelf = self;
        mSettings = settings;
        mStartedAtMillis = startedAt;
        mPeers = peers;
        mHighestToken = highest;
    }

    /** Returns the vote to send with heartbeats. */
    Optional<RoleVote> vote() {
        return mLocalVote.current();
    }

    /** Returns the highest token that this entry ever voted for, or 0. */
    long highestVotedToken() {
        return mLocalVote.highestVotedToken();
    }

    /** Withdraws the vote, and tells the peers if there was one. */
    void withdraw(List<RoleAction> actions) {
        if (mLocalVote.withdraw()) {
            actions.add(new RoleAction.Announce());
        }
    }

    /**
     * Withdraws the vote without a word, for a caller that tells the peers anyway.
     *
     * <p>Ends this entry's part in the present election.
     */
    void withdrawSilently() {
        mLocalVote.withdraw();
    }

    /**
     * Casts, keeps or withdraws the vote and returns the token that this entry won, if it did.
     *
     * @param listeningSince since when this entry has listened to its peers without a pause
     */
    OptionalLong decide(long listeningSince, long now, List<RoleAction> actions) {
        boolean young = now - mStartedAtMillis < VOTING_DELAY_AFTER_START_MILLIS;
        if (young || !isHolderGone(listeningSince, now)) {
            withdraw(actions);
            return OptionalLong.empty();
        }
        Optional<EntryId> preferred = mPeers.preferredCandidate(now);
        if (preferred.isEmpty()) {
            return OptionalLong.empty();
        }
        long highest = Math.max(mHighestToken.token(), mLocalVote.highestVotedToken());
        Optional<RoleVote> ahead = higherPeerVote(highest, now);
        if (ahead.isPresent()) {
            cast(ahead.get(), now, actions);
        } else if (mLocalVote.needsReplacement(mHighestToken.token(), now)) {
            cast(new RoleVote(RoleTokens.nextVoteToken(highest), preferred.get()), now, actions);
        }
        RoleVote vote = mLocalVote.current().orElseThrow();
        boolean won =
                vote.candidate().equals(mSelf) && mPeers.countVotes(vote, now) >= requiredVotes();
        return won ? OptionalLong.of(vote.token()) : OptionalLong.empty();
    }

    /** Returns a peer's vote for a higher token whose candidate could hold the role. */
    private Optional<RoleVote> higherPeerVote(long highest, long now) {
        return mPeers.highestVote(now)
                .filter(v -> v.token() > highest)
                .filter(v -> v.candidate().equals(mSelf) || mPeers.isAlive(v.candidate(), now));
    }

    private void cast(RoleVote vote, long now, List<RoleAction> actions) {
        mLocalVote.cast(vote, now);
        actions.add(new RoleAction.Announce());
    }

    private boolean isHolderGone(long listeningSince, long now) {
        Optional<EntryId> holder =
                mHighestToken.holder().filter(h -> mPeers.reportsHolding(h, mHighestToken.token()));
        if (holder.filter(mPeers::isDraining).isPresent()) {
            return true;
        }
        // A new holder gets the time to be heard, and so does any holder after an own pause.
        if (now - Math.max(listeningSince, mHighestToken.firstSeenAtMillis())
                < mSettings.peerTimeoutMillis()) {
            return false;
        }
        return holder.filter(h -> mPeers.isReachable(h, now)).isEmpty();
    }

    /**
     * Returns the votes that a claim needs: a majority of the known entries.
     *
     * <p>Of two entries the one that is left would never be a majority; it may claim alone after
     * the silence of a holder that it knows, since workers refuse the older token.
     */
    private int requiredVotes() {
        boolean pair = mPeers.hasExactlyTwoVoters() && !mSettings.needsMajority();
        boolean otherHeld = mHighestToken.holder().filter(h -> !h.equals(mSelf)).isPresent();
        return pair && otherHeld ? 1 : mPeers.majority();
    }
}
