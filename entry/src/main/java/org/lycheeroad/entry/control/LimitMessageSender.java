package org.lycheeroad.entry.control;

import org.lycheeroad.coordination.limits.DemandReport;
import org.lycheeroad.coordination.limits.ShareGrant;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.id.EntryId;

/** Sends demand reports and share grants to other entries. */
final class LimitMessageSender implements LimitService.Sender {
    private final EntryId mLocalEntry;
    private final MemberTransport mTransport;

    LimitMessageSender(EntryId localEntry, MemberTransport transport) {
        mLocalEntry = localEntry;
        mTransport = transport;
    }

    @Override
    public void send(EntryId holder, DemandReport report) {
        mTransport.send(
                holder,
                PeerFrame.newBuilder()
                        .setDemandReport(LimitMessages.toMessage(mLocalEntry, report)));
    }

    @Override
    public void send(EntryId entry, ShareGrant grant) {
        mTransport.send(
                entry, PeerFrame.newBuilder().setShareGrant(LimitMessages.toMessage(grant)));
    }
}
