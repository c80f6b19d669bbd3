package org.lycheeroad.entry.control;

import java.util.concurrent.atomic.AtomicLong;

/** Generates ids that are unique among the writes of all entries. */
final class AttemptIdGenerator {
    private final String mPrefix;
    private final AtomicLong mLastSequence = new AtomicLong();

    AttemptIdGenerator(ControlSettings settings) {
        mPrefix = settings.entry().value() + "-" + Long.toString(settings.instance(), 36) + "-";
    }

    String nextId() {
        return mPrefix + Long.toString(mLastSequence.incrementAndGet(), 36);
    }
}
