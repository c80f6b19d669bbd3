package org.lycheeroad.coordination.roles;

import java.util.Optional;

/**
 * The vote of one entry, which votes for at most one candidate per token.
 *
 * <p>Times are in milliseconds of a monotonic clock.
 */
final class LocalVote {
    /** A vote that led to no claim in this time is replaced by one for the next token. */
    static final long VOTE_TIMEOUT_MILLIS = 1_200;

    private long mHighestVotedToken;
    private Optional<RoleVote> mVote = Optional.empty();
    private long mCastAtMillis;

    /** Returns the vote to send with heartbeats. */
    Optional<RoleVote> current() {
        return mVote;
    }

    /** Returns the highest token that this entry ever voted for, or 0. */
    long highestVotedToken() {
        return mHighestVotedToken;
    }

    /** Votes for a candidate with a token above {@link #highestVotedToken()}. */
    void cast(RoleVote vote, long now) {
        mVote = Optional.of(vote);
        mHighestVotedToken = vote.token();
        mCastAtMillis = now;
    }

    /** Withdraws the vote and returns whether there was one. */
    boolean withdraw() {
        boolean cast = mVote.isPresent();
        mVote = Optional.empty();
        return cast;
    }

    /** Returns whether a new vote is needed, given the highest token that was claimed. */
    boolean needsReplacement(long highestClaimed, long now) {
        return mVote.isEmpty()
                || mVote.get().token() <= highestClaimed
                || now - mCastAtMillis >= VOTE_TIMEOUT_MILLIS;
    }
}
