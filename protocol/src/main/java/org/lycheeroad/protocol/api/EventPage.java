package org.lycheeroad.protocol.api;

import java.util.List;
import org.lycheeroad.state.event.TimelineEvent;

/**
 * A page of one entry's event timeline.
 *
 * @param next the value of the parameter {@code after} that requests the following page
 * @param lost whether events after the requested position were already overwritten
 */
public record EventPage(long next, boolean lost, List<TimelineEvent> events) {}
