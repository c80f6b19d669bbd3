package org.lycheeroad.coordination.limits;

import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;

/** Identifies a limit on the requests of one team and kind, over all entries together. */
public record LimitKey(TeamId team, KindId kind) {}
