package org.lycheeroad.entry.control;

import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.protocol.peer.TableReply;
import org.lycheeroad.protocol.peer.TableRequest;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.table.OperatorTable;

/** Notifies rate limits, listeners and peers of table changes; runs on the control thread. */
final class TableNotifier implements TableService.Listener {
    private static final long FETCH_TIMEOUT_MILLIS = 2_000;

    private final LimitService mLimitService;
    private final MemberTransport mTransport;
    private final ControlListenerRegistry mListeners;
    private final Runnable mSendHeartbeat;

    /**
     * Creates a notifier.
     *
     * @param sendHeartbeat makes the next tick send a heartbeat, which contains the table version
     */
    TableNotifier(
            LimitService limitService,
            MemberTransport transport,
            ControlListenerRegistry listeners,
            Runnable sendHeartbeat) {
        mLimitService = limitService;
        mTransport = transport;
        mListeners = listeners;
        mSendHeartbeat = sendHeartbeat;
    }

    @Override
    public void onTableChanged(OperatorTable table) {
        mSendHeartbeat.run();
        mLimitService.onTableChanged(table);
        mListeners.notifyListeners(l -> l.onTableChanged(table));
    }

    @Override
    public CompletableFuture<TableReply> fetchTable(EntryId peer, long knownVersion) {
        TableRequest.Builder request = TableRequest.newBuilder().setKnownVersion(knownVersion);
        return mTransport
                .request(
                        peer, PeerFrame.newBuilder().setTableRequest(request), FETCH_TIMEOUT_MILLIS)
                .thenApply(PeerFrame::getTableReply);
    }

    @Override
    public void onEvent(EventCode code, String text) {
        mListeners.recordEvent(code, text);
    }
}
