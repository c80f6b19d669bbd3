package org.lycheeroad.entry.control;

import java.util.Map;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.protocol.peer.Heartbeat;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.peer.PeerTransport;

/** Sends heartbeats to all other entries; runs on the control thread except {@link #setLoad}. */
final class HeartbeatSender {
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long REPLY_TIMEOUT_MILLIS = 4_000;

    private final MemberIdentity mSelf;
    private final HybridClock mClock;
    private final PeerTransport mTransport;
    private final MembershipTracker mMembershipTracker;
    private final MembershipService mMembership;
    private final ControlRoles mRoles;
    private final TableService mTableService;
    private long mNextHeartbeatAtMillis;
    private volatile Map<TargetId, Integer> mInFlight = Map.of();

    HeartbeatSender(
            MemberIdentity self,
            HybridClock clock,
            PeerTransport transport,
            MembershipTracker membershipTracker,
            MembershipService membership,
            ControlRoles roles,
            TableService tableService) {
        mSelf = self;
        mClock = clock;
        mTransport = transport;
        mMembershipTracker = membershipTracker;
        mMembership = membership;
        mRoles = roles;
        mTableService = tableService;
    }

    /** Sets the number of requests in flight by target; may be called on any thread. */
    void setLoad(Map<TargetId, Integer> inFlight) {
        mInFlight = Map.copyOf(inFlight);
    }

    /** Makes the next tick send a heartbeat, because the state that it carries has changed. */
    void sendAtNextTick() {
        mNextHeartbeatAtMillis = 0;
    }

    /** Sends a heartbeat if it is due. */
    void tick(long nowMillis) {
        if (nowMillis < mNextHeartbeatAtMillis) {
            return;
        }
        mNextHeartbeatAtMillis = nowMillis + HEARTBEAT_INTERVAL_MILLIS;
        Heartbeat message = buildHeartbeat(nowMillis);
        for (HostPort peer : mMembership.peerAddresses()) {
            PeerFrame.Builder frame = PeerFrame.newBuilder().setHeartbeat(message);
            mTransport.request(peer, frame, REPLY_TIMEOUT_MILLIS);
        }
    }

    private Heartbeat buildHeartbeat(long nowMillis) {
        Heartbeat.Builder heartbeat =
                HeartbeatMessages.newHeartbeat(mSelf, mClock.next(System.currentTimeMillis()))
                        .setTableVersion(mTableService.version())
                        .setDraining(mMembership.isDraining());
        for (RoleService role : mRoles.all()) {
            HeartbeatMessages.addRoleState(heartbeat, role.roleName(), role.election());
        }
        HeartbeatMessages.addPeerAges(heartbeat, mMembershipTracker, nowMillis);
        HeartbeatMessages.addLoads(heartbeat, mInFlight);
        return heartbeat.build();
    }
}
