package org.lycheeroad.entry.control;

import java.util.concurrent.atomic.AtomicLong;

/** Issues ids that no other write of any entry has. */
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
