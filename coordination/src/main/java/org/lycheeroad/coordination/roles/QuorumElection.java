package org.lycheeroad.coordination.roles;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lycheeroad.state.id.EntryId;

/**
 * Elects a role holder by majority vote while the store is unreachable.
 *
 * <p>An entry that receives no heartbeats from the holder votes for the live candidate with the
 * lowest id; the votes of a majority of the known entries elect it. Times are in milliseconds of a
 * monotonic clock.
 */
final class QuorumElection {
    /**
     * Time after its start during which an entry does not vote, so that votes cast by its previous
     * instance are no longer counted anywhere.
     */
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
            long startedAtMillis,
            RolePeers peers,
            HighestToken highestToken) {
        mSelf = self;
        mSettings = settings;
        mStartedAtMillis = startedAtMillis;
        mPeers = peers;
        mHighestToken = highestToken;
    }

    /** Returns the current vote, to be sent with heartbeats. */
    Optional<RoleVote> vote() {
        return mLocalVote.current();
    }

    /** Returns the highest token for which this entry has voted, or 0 if it never has. */
    long highestVotedToken() {
        return mLocalVote.highestVotedToken();
    }

    /** Withdraws the vote, if there is one, and announces the withdrawal to the peers. */
    void withdraw(List<RoleAction> actions) {
        if (mLocalVote.withdraw()) {
            actions.add(new RoleAction.Announce());
        }
    }

    /** Withdraws the vote without an announcement, for a caller that announces a change anyway. */
    void withdrawSilently() {
        mLocalVote.withdraw();
    }

    /**
     * Casts, keeps or withdraws the vote.
     *
     * @param uninterruptedSinceMillis since when this entry has handled events without a pause
     * @return the token with which this entry was elected, or empty if it was not
     */
    OptionalLong decide(long uninterruptedSinceMillis, long nowMillis, List<RoleAction> actions) {
        boolean justStarted = nowMillis - mStartedAtMillis < VOTING_DELAY_AFTER_START_MILLIS;
        if (justStarted || !isHolderGone(uninterruptedSinceMillis, nowMillis)) {
            withdraw(actions);
            return OptionalLong.empty();
        }
        Optional<EntryId> preferred = mPeers.preferredCandidate(nowMillis);
        if (preferred.isEmpty()) {
            return OptionalLong.empty();
        }
        long highest = Math.max(mHighestToken.token(), mLocalVote.highestVotedToken());
        Optional<RoleVote> higherVote = higherPeerVote(highest, nowMillis);
        if (higherVote.isPresent()) {
            cast(higherVote.get(), nowMillis, actions);
        } else if (mLocalVote.needsReplacement(mHighestToken.token(), nowMillis)) {
            cast(
                    new RoleVote(RoleTokens.nextVoteToken(highest), preferred.get()),
                    nowMillis,
                    actions);
        }
        RoleVote vote = mLocalVote.current().orElseThrow();
        boolean elected =
                vote.candidate().equals(mSelf)
                        && mPeers.countVotes(vote, nowMillis) >= requiredVotes();
        return elected ? OptionalLong.of(vote.token()) : OptionalLong.empty();
    }

    /** Returns a peer's vote for a higher token, if its candidate is this entry or alive. */
    private Optional<RoleVote> higherPeerVote(long highest, long nowMillis) {
        return mPeers.highestVote(nowMillis)
                .filter(v -> v.token() > highest)
                .filter(
                        v ->
                                v.candidate().equals(mSelf)
                                        || mPeers.isAlive(v.candidate(), nowMillis));
    }

    private void cast(RoleVote vote, long nowMillis, List<RoleAction> actions) {
        mLocalVote.cast(vote, nowMillis);
        actions.add(new RoleAction.Announce());
    }

    /** Returns whether the holder is draining, unknown or unreachable. */
    private boolean isHolderGone(long uninterruptedSinceMillis, long nowMillis) {
        Optional<EntryId> holder =
                mHighestToken.holder().filter(h -> mPeers.reportsHolding(h, mHighestToken.token()));
        if (holder.filter(mPeers::isDraining).isPresent()) {
            return true;
        }
        // The peer timeout starts anew with a new token, so that heartbeats of its holder can
        // arrive, and after a pause of this entry.
        if (nowMillis - Math.max(uninterruptedSinceMillis, mHighestToken.firstSeenAtMillis())
                < mSettings.peerTimeoutMillis()) {
            return false;
        }
        return holder.filter(h -> mPeers.isReachable(h, nowMillis)).isEmpty();
    }

    /**
     * Returns the number of votes that elect a candidate: a majority of the known entries.
     *
     * <p>With two entries, the remaining one can never be a majority. It may elect itself after a
     * known holder has timed out, as workers refuse the older token; this does not apply to a role
     * that {@linkplain RoleSettings#needsMajority needs a majority}.
     */
    private int requiredVotes() {
        boolean singleVoteAllowed = mPeers.hasExactlyTwoVoters() && !mSettings.needsMajority();
        boolean otherEntryHeld = mHighestToken.holder().filter(h -> !h.equals(mSelf)).isPresent();
        return singleVoteAllowed && otherEntryHeld ? 1 : mPeers.majority();
    }
}
