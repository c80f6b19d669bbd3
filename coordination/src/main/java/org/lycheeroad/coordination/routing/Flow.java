package org.lycheeroad.coordination.routing;

import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;

/** The requests of one team and kind; they share a weight, a rate limit and a service time. */
record Flow(TeamId team, KindId kind) {}
