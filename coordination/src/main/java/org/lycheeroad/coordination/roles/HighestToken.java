package org.lycheeroad.coordination.roles;

import java.util.Optional;
import org.lycheeroad.state.id.EntryId;

/** The highest token that any entry is known to have held a role with, and its holder if known. */
final class HighestToken {
    private long mToken;
    private long mFirstSeenAtMillis;
    private Optional<EntryId> mHolder = Optional.empty();

    /** Creates the claim of an entry that knows none yet; {@code now} is in milliseconds. */
    HighestToken(long now) {
        mFirstSeenAtMillis = now;
    }

    /** Takes in a token, with its holder if that is known; lower tokens change nothing. */
    void observe(long token, Optional<EntryId> holder, long now) {
        if (token > mToken) {
            mToken = token;
            mFirstSeenAtMillis = now;
            mHolder = holder;
        } else if (token == mToken && holder.isPresent()) {
            mHolder = holder;
        }
    }

    long token() {
        return mToken;
    }

    /** Returns when the token was first seen, in milliseconds. */
    long firstSeenAtMillis() {
        return mFirstSeenAtMillis;
    }

    Optional<EntryId> holder() {
        return mHolder;
    }
}
