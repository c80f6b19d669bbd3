package org.lycheeroad.scheduler.owner;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.topology.HostPort;

/**
 * The owner, as stored in the metadata store.
 *
 * @param name the name of the daemon that is owner
 * @param incarnation distinguishes successive processes of the same name
 * @param epoch the epoch of the term, which is the fencing token of its orders
 * @param peer the address on which the owner serves other daemons
 */
public record OwnerRecord(EntryId name, long incarnation, long epoch, HostPort peer) {}
