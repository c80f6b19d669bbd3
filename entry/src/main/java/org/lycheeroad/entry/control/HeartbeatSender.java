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

/** Sends heartbeats to all other entries; runs on the control thread but for the load. */
final class HeartbeatSender {
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long TIMEOUT_MILLIS = 4_000;

    private final MemberIdentity mSelf;
    private final HybridClock mClock;
    private final PeerTransport mLinks;
    private final MembershipTracker mMembers;
    private final MembershipService mMembership;
    private final ControlRoles mRoles;
    private final TableService mTable;
    private long mNext;
    private volatile Map<TargetId, Integer> mInFlight = Map.of();

    HeartbeatSender(
            MemberIdentity self,
            HybridClock clock,
            PeerTransport links,
            MembershipTracker members,
            MembershipService membership,
            ControlRoles roles,
            TableService table) {
        mSelf = self;
        mClock = clock;
        mLinks = links;
        mMembers = members;
        mMembership = membership;
        mRoles = roles;
        mTable = table;
    }

    /** Sets the requests in flight per target; may be called by any thread. */
    void publishLoad(Map<TargetId, Integer> inFlight) {
        mInFlight = Map.copyOf(inFlight);
    }

    /** Sends the next heartbeat at the next tick, because it carries news. */
    void sendSoon() {
        mNext = 0;
    }

    /** Sends a heartbeat when it is due; {@code now} is in milliseconds. */
    void tick(long now) {
        if (now < mNext) {
            return;
        }
        mNext = now + HEARTBEAT_MILLIS;
        Heartbeat message = message(now);
        for (HostPort peer : mMembership.addresses()) {
            PeerFrame.Builder frame = PeerFrame.newBuilder().setHeartbeat(message);
            mLinks.request(peer, frame, TIMEOUT_MILLIS);
        }
    }

    private Heartbeat message(long now) {
        Heartbeat.Builder heartbeat =
                HeartbeatMessages.start(mSelf, mClock.next(System.currentTimeMillis()))
                        .setTableVersion(mTable.version())
                        .setDraining(mMembership.isDraining());
        for (RoleService role : mRoles.all()) {
            HeartbeatMessages.addRole(heartbeat, role.role(), role.election());
        }
        HeartbeatMessages.addAges(heartbeat, mMembers, now);
        HeartbeatMessages.addLoads(heartbeat, mInFlight);
        return heartbeat.build();
    }
}
