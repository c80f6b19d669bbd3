package org.lycheeroad.coordination.config;

import org.lycheeroad.state.id.EntryId;

/** What a table keeper decides. */
public sealed interface TableAction {
    /** Put the version in force; versions of later actions are greater. */
    record Apply(long version, String csv) implements TableAction {}

    /** Ask the peer for its table, which is newer than the known version. */
    record FetchFromPeer(EntryId peer, long knownVersion) implements TableAction {}
}
