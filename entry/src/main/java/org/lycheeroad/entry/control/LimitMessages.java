package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.coordination.limits.DemandReport;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.ShareGrant;
import org.lycheeroad.protocol.peer.LimitDemand;
import org.lycheeroad.protocol.peer.Share;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;

/** Converts demand reports and share grants to and from peer messages. */
final class LimitMessages {
    private LimitMessages() {}

    static org.lycheeroad.protocol.peer.DemandReport toMessage(EntryId self, DemandReport report) {
        var message =
                org.lycheeroad.protocol.peer.DemandReport.newBuilder()
                        .setEntry(self.value())
                        .setInstance(report.instance())
                        .setReport(report.reportNumber())
                        .setToken(report.token())
                        .setAppliedSequence(report.appliedSequence());
        report.demandPerSecond()
                .forEach(
                        (key, rate) ->
                                message.addDemands(
                                        LimitDemand.newBuilder()
                                                .setTeam(key.team().value())
                                                .setKind(key.kind().value())
                                                .setPerSecond(rate.floatValue())));
        return message.build();
    }

    static DemandReport fromMessage(org.lycheeroad.protocol.peer.DemandReport message) {
        Map<LimitKey, Double> demands = new HashMap<>();
        for (LimitDemand demand : message.getDemandsList()) {
            demands.put(
                    toLimitKey(demand.getTeam(), demand.getKind()), (double) demand.getPerSecond());
        }
        return new DemandReport(
                message.getInstance(),
                message.getReport(),
                message.getToken(),
                message.getAppliedSequence(),
                demands);
    }

    static org.lycheeroad.protocol.peer.ShareGrant toMessage(ShareGrant grant) {
        var message =
                org.lycheeroad.protocol.peer.ShareGrant.newBuilder()
                        .setToken(grant.token())
                        .setSequence(grant.sequence())
                        .setInstance(grant.instance())
                        .setReport(grant.reportNumber())
                        .setLeaseMillis((int) grant.leaseMillis());
        grant.shares()
                .forEach(
                        (key, rate) ->
                                message.addShares(
                                        Share.newBuilder()
                                                .setTeam(key.team().value())
                                                .setKind(key.kind().value())
                                                .setPerSecond(rate.floatValue())));
        return message.build();
    }

    static ShareGrant fromMessage(org.lycheeroad.protocol.peer.ShareGrant message) {
        Map<LimitKey, Double> shares = new HashMap<>();
        for (Share share : message.getSharesList()) {
            shares.put(toLimitKey(share.getTeam(), share.getKind()), (double) share.getPerSecond());
        }
        return new ShareGrant(
                message.getToken(),
                message.getSequence(),
                message.getInstance(),
                message.getReport(),
                message.getLeaseMillis(),
                shares);
    }

    private static LimitKey toLimitKey(String team, String kind) {
        return new LimitKey(new TeamId(team), new KindId(kind));
    }
}
