package org.lycheeroad.coordination.roles;

import org.lycheeroad.state.id.EntryId;

/** A vote for a candidate to hold a role with a fencing token. */
public record RoleVote(long token, EntryId candidate) {}
