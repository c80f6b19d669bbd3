package org.lycheeroad.entry.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.transport.peer.PeerException;
import org.lycheeroad.transport.peer.PeerTransport;

/** Sends frames to entries by their id; runs on the control thread. */
final class MemberLinks {
    private final MembershipTracker mMembers;
    private final PeerTransport mLinks;

    MemberLinks(MembershipTracker members, PeerTransport links) {
        mMembers = members;
        mLinks = links;
    }

    /** Sends a one-way frame; nothing is sent to an entry that is not known. */
    void send(EntryId to, PeerFrame.Builder frame) {
        mMembers.identity(to).ifPresent(peer -> mLinks.send(peer.address(), frame));
    }

    /** Sends a request; failures complete the future with {@link PeerException}. */
    CompletableFuture<PeerFrame> request(EntryId to, PeerFrame.Builder frame, long timeoutMillis) {
        Optional<MemberIdentity> peer = mMembers.identity(to);
        if (peer.isEmpty()) {
            return CompletableFuture.failedFuture(new PeerException(false, "unknown entry " + to));
        }
        return mLinks.request(peer.get().address(), frame, timeoutMillis);
    }
}
