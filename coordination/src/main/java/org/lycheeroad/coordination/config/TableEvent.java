package org.lycheeroad.coordination.config;

import org.lycheeroad.state.id.EntryId;

/** What a table keeper learns. */
public sealed interface TableEvent {
    /** A version arrived from the store, from a peer or from a confirmed save. */
    record VersionReceived(long version, String csv) implements TableEvent {}

    /** The store was read or its watch is up to date; the version read was received before. */
    record StoreSynced() implements TableEvent {}

    /** A peer's heartbeat named the version that is in force there. */
    record PeerVersionReported(EntryId peer, long version) implements TableEvent {}

    /** Time passed. */
    record Tick() implements TableEvent {}
}
