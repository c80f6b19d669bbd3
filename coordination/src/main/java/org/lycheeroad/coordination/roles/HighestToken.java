package org.lycheeroad.coordination.roles;

import java.util.Optional;
import org.lycheeroad.state.id.EntryId;

/**
 * The highest fencing token with which any entry is known to have held the role, and its holder if
 * known.
 */
final class HighestToken {
    private long mToken;
    private long mFirstSeenAtMillis;
    private Optional<EntryId> mHolder = Optional.empty();

    /** Creates an instance with no known token. */
    HighestToken(long nowMillis) {
        mFirstSeenAtMillis = nowMillis;
    }

    /** Records a token and its holder, if known; tokens below the highest one are ignored. */
    void observe(long token, Optional<EntryId> holder, long nowMillis) {
        if (token > mToken) {
            mToken = token;
            mFirstSeenAtMillis = nowMillis;
            mHolder = holder;
        } else if (token == mToken && holder.isPresent()) {
            mHolder = holder;
        }
    }

    long token() {
        return mToken;
    }

    /** Returns when the highest token was first seen. */
    long firstSeenAtMillis() {
        return mFirstSeenAtMillis;
    }

    Optional<EntryId> holder() {
        return mHolder;
    }
}
