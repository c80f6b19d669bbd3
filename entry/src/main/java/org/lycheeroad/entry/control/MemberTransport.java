package org.lycheeroad.entry.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.transport.peer.PeerException;
import org.lycheeroad.transport.peer.PeerTransport;

/** Sends frames to entries by their ids; runs on the control thread. */
final class MemberTransport {
    private final MembershipTracker mMembershipTracker;
    private final PeerTransport mTransport;

    MemberTransport(MembershipTracker membershipTracker, PeerTransport transport) {
        mMembershipTracker = membershipTracker;
        mTransport = transport;
    }

    /** Sends a one-way frame; does nothing if the entry is unknown. */
    void send(EntryId to, PeerFrame.Builder frame) {
        mMembershipTracker.identity(to).ifPresent(peer -> mTransport.send(peer.address(), frame));
    }

    /** Sends a request; failures complete the future with {@link PeerException}. */
    CompletableFuture<PeerFrame> request(EntryId to, PeerFrame.Builder frame, long timeoutMillis) {
        Optional<MemberIdentity> peer = mMembershipTracker.identity(to);
        if (peer.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerException(false, "unknown entry " + to));
        }
        return mTransport.request(peer.get().address(), frame, timeoutMillis);
    }
}
