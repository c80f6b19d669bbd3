package org.lycheeroad.entry.control;

import java.util.function.Consumer;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.protocol.peer.DemandReport;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.protocol.peer.RoleHandover;
import org.lycheeroad.protocol.peer.TableReply;
import org.lycheeroad.protocol.peer.TableRequest;
import org.lycheeroad.state.id.EntryId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Dispatches frames from other entries to the services that handle them. */
final class PeerFrameDispatcher {
    private static final Logger LOG = LoggerFactory.getLogger(PeerFrameDispatcher.class);

    private final ControlLoop mLoop;
    private final HeartbeatReceiver mHeartbeatReceiver;
    private final ControlRoles mRoles;
    private final TableService mTableService;
    private final LimitService mLimitService;
    private final PlacementOwnerClient mOwnerClient;

    PeerFrameDispatcher(
            ControlLoop loop,
            HeartbeatReceiver heartbeatReceiver,
            ControlRoles roles,
            TableService tableService,
            LimitService limitService,
            PlacementOwnerClient ownerClient) {
        mLoop = loop;
        mHeartbeatReceiver = heartbeatReceiver;
        mRoles = roles;
        mTableService = tableService;
        mLimitService = limitService;
        mOwnerClient = ownerClient;
    }

    /**
     * Handles a frame on the control thread; may be called on any thread.
     *
     * <p>A frame that is dropped because the queue is full gets no reply, so its sender times out.
     * An invalid frame is logged and gets no reply, unless it is a heartbeat.
     */
    void onFrame(PeerFrame frame, Consumer<PeerFrame.Builder> reply) {
        if (!mLoop.tryExecute(() -> dispatch(frame, reply))) {
            LOG.debug("Dropped frame {} because the control queue is full", frame.getBodyCase());
        }
    }

    private void dispatch(PeerFrame frame, Consumer<PeerFrame.Builder> reply) {
        try {
            switch (frame.getBodyCase()) {
                case HEARTBEAT -> {
                    reply.accept(PeerFrame.newBuilder());
                    mHeartbeatReceiver.onHeartbeat(frame.getHeartbeat());
                }
                case TABLE_REQUEST -> reply.accept(buildTableReply(frame.getTableRequest()));
                case SHARE_GRANT ->
                        mLimitService.onShareGrant(
                                LimitMessages.fromMessage(frame.getShareGrant()));
                case DEMAND_REPORT -> onDemandReport(frame.getDemandReport());
                case URGENT_SUBMIT -> mOwnerClient.onSubmit(frame.getUrgentSubmit(), reply);
                case CANCEL_JOB -> mOwnerClient.onCancel(frame.getCancelJob(), reply);
                case ROLE_HANDOVER -> onHandoverOffer(frame.getRoleHandover());
                default -> LOG.debug("Ignored frame {}, which has no handler", frame.getBodyCase());
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("Ignored invalid frame {}: {}", frame.getBodyCase(), e.getMessage());
        }
    }

    private PeerFrame.Builder buildTableReply(TableRequest request) {
        TableReply.Builder tableReply = TableReply.newBuilder().setVersion(mTableService.version());
        if (request.getKnownVersion() < mTableService.version()) {
            tableReply.setCsv(mTableService.currentCsv());
        }
        return PeerFrame.newBuilder().setTableReply(tableReply);
    }

    private void onDemandReport(DemandReport report) {
        mLimitService.onDemandReport(
                new EntryId(report.getEntry()), LimitMessages.fromMessage(report));
    }

    private void onHandoverOffer(RoleHandover offer) {
        mRoles.findByName(offer.getRole())
                .ifPresent(role -> role.handle(new RoleEvent.HandoverOffered(offer.getToken())));
    }
}
