package org.lycheeroad.coordination.roles;

import org.lycheeroad.state.id.EntryId;

/**
 * The holder of a role as written to the store as JSON.
 *
 * @param instance the run of the entry that holds the role
 * @param token the fencing token
 */
public record StoredRole(EntryId holder, long instance, long token) {}
