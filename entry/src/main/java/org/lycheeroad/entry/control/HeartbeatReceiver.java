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

/** Passes the contents of heartbeats to the services; runs on the control thread. */
final class HeartbeatReceiver {
    private final MemberIdentity mSelf;
    private final HybridClock mClock;
    private final MembershipTracker mMembershipTracker;
    private final MembershipService mMembership;
    private final ControlRoles mRoles;
    private final RoleHolders mRoleHolders;
    private final TableService mTableService;
    private final ControlListenerRegistry mListeners;

    HeartbeatReceiver(
            MemberIdentity self,
            HybridClock clock,
            MembershipTracker membershipTracker,
            MembershipService membership,
            ControlRoles roles,
            RoleHolders roleHolders,
            TableService tableService,
            ControlListenerRegistry listeners) {
        mSelf = self;
        mClock = clock;
        mMembershipTracker = membershipTracker;
        mMembership = membership;
        mRoles = roles;
        mRoleHolders = roleHolders;
        mTableService = tableService;
        mListeners = listeners;
    }

    /**
     * Processes a heartbeat; one from an earlier instance of its sender only updates membership.
     *
     * @throws IllegalArgumentException if the heartbeat contains an invalid id
     */
    void onHeartbeat(Heartbeat heartbeat) {
        EntryId from = new EntryId(heartbeat.getEntry());
        if (from.equals(mSelf.id())) {
            return;
        }
        MemberIdentity sender = HeartbeatMessages.sender(heartbeat);
        long instance = sender.instance();
        mMembership.handle(new MembershipEvent.HeartbeatReceived(sender, heartbeat.getDraining()));
        if (!mMembershipTracker.isCurrentInstance(from, instance)) {
            return;
        }
        mClock.observe(
                new HybridTimestamp(heartbeat.getClockMillis(), heartbeat.getClockCounter()));
        for (HeldRole role : heartbeat.getRolesList()) {
            mRoleHolders.observe(role.getRole(), new StoredRole(from, instance, role.getToken()));
        }
        if (sender.region().equals(mSelf.region())) {
            notifyElection(mRoles.placement(), heartbeat, from);
        }
        notifyElection(mRoles.limits(), heartbeat, from);
        mTableService.handle(new TableEvent.PeerVersionReported(from, heartbeat.getTableVersion()));
        Map<TargetId, Integer> loads = HeartbeatMessages.loads(heartbeat);
        mListeners.notifyListeners(l -> l.onPeerLoadReported(from, loads));
    }

    private static void notifyElection(RoleService role, Heartbeat heartbeat, EntryId from) {
        role.handle(HeartbeatMessages.toHeartbeatReceived(heartbeat, from, role.roleName()));
    }
}
