package org.lycheeroad.coordination.membership;

import java.util.List;
import org.lycheeroad.state.id.EntryId;

/** What one of the three sources says about the entries. */
public sealed interface MembershipEvent {
    /** A heartbeat arrived. */
    record HeartbeatReceived(MemberIdentity sender, boolean draining) implements MembershipEvent {}

    /** The list of VMs was read. */
    record VmListRead(List<ListedEntry> entries) implements MembershipEvent {}

    /** The store has a leased key of the entry. */
    record MemberKeyStored(MemberIdentity member) implements MembershipEvent {}

    /** The entry's key is gone from the store. */
    record MemberKeyDeleted(EntryId id) implements MembershipEvent {}

    /** Time passed. */
    record Tick() implements MembershipEvent {}
}
