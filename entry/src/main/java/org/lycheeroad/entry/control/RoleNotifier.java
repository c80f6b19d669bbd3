package org.lycheeroad.entry.control;

import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.protocol.peer.RoleHandover;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;

/** Records role changes as events and announces them to peers; runs on the control thread. */
final class RoleNotifier {
    private final MemberTransport mTransport;
    private final ControlListenerRegistry mListeners;
    private final Runnable mSendHeartbeat;

    /**
     * Creates a notifier.
     *
     * @param sendHeartbeat makes the next tick send a heartbeat
     */
    RoleNotifier(
            MemberTransport transport, ControlListenerRegistry listeners, Runnable sendHeartbeat) {
        mTransport = transport;
        mListeners = listeners;
        mSendHeartbeat = sendHeartbeat;
    }

    void recordGained(String role, long token) {
        mListeners.recordEvent(EventCode.ROLE_GAINED, role + " token " + token);
    }

    void recordLost(String role, long token, String reason) {
        mListeners.recordEvent(EventCode.ROLE_LOST, role + " token " + token + ": " + reason);
    }

    /** Announces a new vote or token to all peers with a heartbeat at the next tick. */
    void announceToPeers() {
        mSendHeartbeat.run();
    }

    /** Asks a peer to take over a role; does nothing if the entry is unknown. */
    void offerHandover(EntryId to, String role, long token) {
        RoleHandover.Builder offer = RoleHandover.newBuilder().setRole(role).setToken(token);
        mTransport.send(to, PeerFrame.newBuilder().setRoleHandover(offer));
    }
}
