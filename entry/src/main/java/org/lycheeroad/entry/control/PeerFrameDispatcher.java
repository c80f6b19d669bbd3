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

/** Hands each frame of another entry to the service that it is for. */
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
            HeartbeatReceiver heartbeats,
            ControlRoles roles,
            TableService table,
            LimitService limits,
            PlacementOwnerClient ownerCalls) {
        mLoop = loop;
        mHeartbeatReceiver = heartbeats;
        mRoles = roles;
        mTableService = table;
        mLimitService = limits;
        mOwnerClient = ownerCalls;
    }

    /**
     * Takes in a frame on any thread and handles it on the control thread.
     *
     * <p>A frame that is shed because the ring is full is not answered, so its sender sees a
     * timeout. A frame that is not valid is logged and not answered, unless it is a heartbeat.
     */
    void onFrame(PeerFrame frame, Consumer<PeerFrame.Builder> reply) {
        if (!mLoop.tryExecute(() -> handle(frame, reply))) {
            LOG.debug("Frame {} shed, the ring is full", frame.getBodyCase());
        }
    }

    private void handle(PeerFrame frame, Consumer<PeerFrame.Builder> reply) {
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
                default -> LOG.debug("Frame {} ignored", frame.getBodyCase());
            }
        } catch (IllegalArgumentException e) {
            LOG.warn("Frame {} is not valid: {}", frame.getBodyCase(), e.getMessage());
        }
    }

    private PeerFrame.Builder buildTableReply(TableRequest request) {
        TableReply.Builder table = TableReply.newBuilder().setVersion(mTableService.version());
        if (request.getKnownVersion() < mTableService.version()) {
            table.setCsv(mTableService.currentCsv());
        }
        return PeerFrame.newBuilder().setTableReply(table);
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
