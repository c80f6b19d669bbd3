package org.lycheeroad.coordination.config;

import org.lycheeroad.state.id.EntryId;

/** An action that {@link TableVersionSelector} requests from its caller. */
public sealed interface TableAction {
    /** Make the version the active one; the versions of later actions are greater. */
    record Apply(long version, String csv) implements TableAction {}

    /** Fetch the table from a peer that has a newer version than {@code knownVersion}. */
    record FetchFromPeer(EntryId peer, long knownVersion) implements TableAction {}
}
