package org.lycheeroad.coordination.roles;

import java.util.Optional;

/**
 * The current vote of this entry. An entry votes for at most one candidate per token.
 *
 * <p>Times are in milliseconds of a monotonic clock.
 */
final class LocalVote {
    /**
     * A vote after which no candidate has claimed its token for this long is replaced by a vote for
     * the next token.
     */
    static final long VOTE_TIMEOUT_MILLIS = 1_200;

    private long mHighestVotedToken;
    private Optional<RoleVote> mVote = Optional.empty();
    private long mCastAtMillis;

    /** Returns the current vote, to be sent with heartbeats. */
    Optional<RoleVote> current() {
        return mVote;
    }

    /** Returns the highest token for which this entry has voted, or 0 if it never has. */
    long highestVotedToken() {
        return mHighestVotedToken;
    }

    /** Replaces the vote; its token must be greater than {@link #highestVotedToken()}. */
    void cast(RoleVote vote, long nowMillis) {
        mVote = Optional.of(vote);
        mHighestVotedToken = vote.token();
        mCastAtMillis = nowMillis;
    }

    /** Withdraws the vote and returns whether there was one. */
    boolean withdraw() {
        boolean wasCast = mVote.isPresent();
        mVote = Optional.empty();
        return wasCast;
    }

    /**
     * Returns whether a new vote has to be cast.
     *
     * @param highestToken the highest token with which any entry is known to have held the role
     */
    boolean needsReplacement(long highestToken, long nowMillis) {
        return mVote.isEmpty()
                || mVote.get().token() <= highestToken
                || nowMillis - mCastAtMillis >= VOTE_TIMEOUT_MILLIS;
    }
}
