package org.lycheeroad.coordination.membership;

import java.util.List;
import org.lycheeroad.state.id.EntryId;

/** An input of {@link MembershipTracker}. */
public sealed interface MembershipEvent {
    /** A heartbeat arrived; {@code draining} tells whether its sender is shutting down. */
    record HeartbeatReceived(MemberIdentity sender, boolean draining) implements MembershipEvent {}

    /** The platform's list of VMs was read. */
    record VmListRead(List<ListedEntry> entries) implements MembershipEvent {}

    /** The store holds the member's key, which is attached to a lease. */
    record MemberKeyStored(MemberIdentity member) implements MembershipEvent {}

    /** The member's key was deleted or its lease expired. */
    record MemberKeyDeleted(EntryId id) implements MembershipEvent {}

    /** Periodic event that lets time-outs take effect. */
    record Tick() implements MembershipEvent {}
}
