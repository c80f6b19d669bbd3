package org.lycheeroad.entry.control;

import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.protocol.peer.RoleHandover;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;

/** Tells peers and the time line about changes of roles; runs on the control thread. */
final class RoleNotifier {
    private final MemberTransport mTransport;
    private final ControlListenerRegistry mListeners;
    private final Runnable mSendHeartbeat;

    /**
     * Creates the notices.
     *
     * @param announceToPeers makes the next heartbeat go out at once
     */
    RoleNotifier(MemberTransport links, ControlListenerRegistry listeners, Runnable announce) {
        mTransport = links;
        mListeners = listeners;
        mSendHeartbeat = announce;
    }

    void recordGained(String role, long token) {
        mListeners.recordEvent(EventCode.ROLE_GAINED, role + " token " + token);
    }

    void recordLost(String role, long token, String reason) {
        mListeners.recordEvent(EventCode.ROLE_LOST, role + " token " + token + ": " + reason);
    }

    /** Tells all peers about a new vote or token with the next heartbeat, which goes out now. */
    void announceToPeers() {
        mSendHeartbeat.run();
    }

    /** Asks a peer to take a role over; nothing is sent to an entry that is not known. */
    void offerHandover(EntryId to, String role, long token) {
        RoleHandover.Builder offer = RoleHandover.newBuilder().setRole(role).setToken(token);
        mTransport.send(to, PeerFrame.newBuilder().setRoleHandover(offer));
    }
}
