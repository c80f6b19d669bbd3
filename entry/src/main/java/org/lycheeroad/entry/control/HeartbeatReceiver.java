package org.lycheeroad.entry.control;

import java.util.Map;
import org.lycheeroad.coordination.config.TableEvent;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipEvent;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.coordination.roles.StoredRole;
import org.lycheeroad.protocol.peer.Heartbeat;
import org.lycheeroad.protocol.peer.HeldRole;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.time.HybridTimestamp;

/** Hands the contents of each heartbeat to the services concerned; on the control thread. */
final class HeartbeatReceiver {
    private final MemberIdentity mSelf;
    private final HybridClock mClock;
    private final MembershipTracker mMembers;
    private final MembershipService mMembership;
    private final ControlRoles mRoles;
    private final RoleHolders mHolders;
    private final TableService mTable;
    private final ControlListeners mListeners;

    HeartbeatReceiver(
            MemberIdentity self,
            HybridClock clock,
            MembershipTracker members,
            MembershipService membership,
            ControlRoles roles,
            RoleHolders holders,
            TableService table,
            ControlListeners listeners) {
        mSelf = self;
        mClock = clock;
        mMembers = members;
        mMembership = membership;
        mRoles = roles;
        mHolders = holders;
        mTable = table;
        mListeners = listeners;
    }

    /**
     * Takes in a heartbeat; one of an earlier instance of its sender counts only for membership.
     *
     * @throws IllegalArgumentException if an id in it is not valid
     */
    void onHeartbeat(Heartbeat heartbeat) {
        EntryId from = new EntryId(heartbeat.getEntry());
        if (from.equals(mSelf.id())) {
            return;
        }
        MemberIdentity sender = HeartbeatMessages.sender(heartbeat);
        long instance = sender.instance();
        mMembership.handle(new MembershipEvent.HeartbeatReceived(sender, heartbeat.getDraining()));
        if (!mMembers.isCurrentInstance(from, instance)) {
            return;
        }
        mClock.observe(
                new HybridTimestamp(heartbeat.getClockMillis(), heartbeat.getClockCounter()));
        for (HeldRole role : heartbeat.getRolesList()) {
            mHolders.add(role.getRole(), new StoredRole(from, instance, role.getToken()));
        }
        if (sender.region().equals(mSelf.region())) {
            tellElection(mRoles.placement(), heartbeat, from);
        }
        tellElection(mRoles.limits(), heartbeat, from);
        mTable.handle(new TableEvent.PeerVersionReported(from, heartbeat.getTableVersion()));
        Map<TargetId, Integer> loads = HeartbeatMessages.loads(heartbeat);
        mListeners.tell(l -> l.onPeerLoad(from, loads));
    }

    private static void tellElection(RoleService role, Heartbeat heartbeat, EntryId from) {
        role.handle(HeartbeatMessages.toPeerHeard(heartbeat, from, role.role()));
    }
}
