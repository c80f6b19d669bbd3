package org.lycheeroad.coordination.config;

import org.lycheeroad.state.id.EntryId;

/** An input of {@link TableVersionSelector}. */
public sealed interface TableEvent {
    /** A version arrived from the store, from a peer or by a confirmed save. */
    record VersionReceived(long version, String csv) implements TableEvent {}

    /**
     * The store has been read or its watch has caught up; the version that it holds was passed on
     * before as {@link VersionReceived}.
     */
    record StoreSynced() implements TableEvent {}

    /** A peer's heartbeat reported the version that is active at the peer. */
    record PeerVersionReported(EntryId peer, long version) implements TableEvent {}

    /** Periodic event that lets time-outs take effect. */
    record Tick() implements TableEvent {}
}
