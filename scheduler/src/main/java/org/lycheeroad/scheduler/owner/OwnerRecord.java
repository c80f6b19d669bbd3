package org.lycheeroad.scheduler.owner;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.topology.HostPort;

/**
 * The scheduling owner as the store keeps it.
 *
 * @param incarnation tells two processes of one name apart
 */
public record OwnerRecord(EntryId name, long incarnation, long epoch, HostPort peer) {}
