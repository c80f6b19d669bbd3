package org.lycheeroad.state.event;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridTimestamp;

/** One event of the timeline; text fields that do not apply are empty. */
public record TimelineEvent(
        HybridTimestamp at,
        EntryId entry,
        int number,
        String job,
        String request,
        String team,
        String text) {}
