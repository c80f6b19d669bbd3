package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.coordination.roles.RoleElection;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.coordination.roles.RoleVote;
import org.lycheeroad.protocol.peer.Heartbeat;
import org.lycheeroad.protocol.peer.HeldRole;
import org.lycheeroad.protocol.peer.PeerAge;
import org.lycheeroad.protocol.peer.TargetLoad;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.time.HybridTimestamp;
import org.lycheeroad.state.topology.HostPort;

/** Converts between heartbeat messages and the types of the coordination module. */
final class HeartbeatMessages {
    private HeartbeatMessages() {}

    /** Returns a heartbeat with its sender's identity and timestamp. */
    static Heartbeat.Builder newHeartbeat(MemberIdentity self, HybridTimestamp time) {
        return Heartbeat.newBuilder()
                .setEntry(self.id().value())
                .setInstance(self.instance())
                .setClockMillis(time.millis())
                .setClockCounter(time.counter())
                .setRegion(self.region().value())
                .setListenHost(self.address().host())
                .setListenPort(self.address().port());
    }

    /** Adds the held token, the highest observed token and the vote of one election. */
    static void addRoleState(Heartbeat.Builder heartbeat, String role, RoleElection election) {
        if (election.heldToken() != 0) {
            heartbeat.addRoles(newHeldRole(role, election.heldToken()));
        }
        if (election.highestToken() != 0) {
            heartbeat.addSeenTokens(newHeldRole(role, election.highestToken()));
        }
        election.vote()
                .ifPresent(
                        vote ->
                                heartbeat.addVotes(
                                        org.lycheeroad.protocol.peer.RoleVote.newBuilder()
                                                .setRole(role)
                                                .setToken(vote.token())
                                                .setCandidate(vote.candidate().value())));
    }

    /** Adds the time since the last heartbeat of each peer that has sent one. */
    static void addPeerAges(
            Heartbeat.Builder heartbeat, MembershipTracker members, long nowMillis) {
        for (MemberIdentity member : members.otherMembers()) {
            members.millisSinceHeartbeat(member.id(), nowMillis)
                    .ifPresent(
                            ageMillis ->
                                    heartbeat.addPeers(
                                            PeerAge.newBuilder()
                                                    .setEntry(member.id().value())
                                                    .setAgeMillis(ageMillis.intValue())));
        }
    }

    /** Adds the number of the sender's requests in flight at each target that has any. */
    static void addLoads(Heartbeat.Builder heartbeat, Map<TargetId, Integer> inFlight) {
        inFlight.forEach(
                (target, count) -> {
                    if (count > 0) {
                        heartbeat.addLoads(
                                TargetLoad.newBuilder()
                                        .setTarget(target.value())
                                        .setInFlight(count));
                    }
                });
    }

    /** Returns the identity of the sender. */
    static MemberIdentity sender(Heartbeat heartbeat) {
        return new MemberIdentity(
                new EntryId(heartbeat.getEntry()),
                heartbeat.getInstance(),
                new RegionId(heartbeat.getRegion()),
                new HostPort(heartbeat.getListenHost(), heartbeat.getListenPort()));
    }

    /** Returns the number of the sender's requests in flight by target. */
    static Map<TargetId, Integer> loads(Heartbeat heartbeat) {
        Map<TargetId, Integer> loads = new HashMap<>();
        for (TargetLoad load : heartbeat.getLoadsList()) {
            loads.put(new TargetId(load.getTarget()), load.getInFlight());
        }
        return loads;
    }

    /** Returns the election event for one role of a heartbeat. */
    static RoleEvent toHeartbeatReceived(Heartbeat heartbeat, EntryId from, String role) {
        Optional<RoleVote> vote =
                heartbeat.getVotesList().stream()
                        .filter(v -> v.getRole().equals(role))
                        .map(v -> new RoleVote(v.getToken(), new EntryId(v.getCandidate())))
                        .findFirst();
        return new RoleEvent.HeartbeatReceived(
                from,
                heartbeat.getDraining(),
                findToken(heartbeat.getRolesList(), role),
                findToken(heartbeat.getSeenTokensList(), role),
                vote);
    }

    private static HeldRole newHeldRole(String role, long token) {
        return HeldRole.newBuilder().setRole(role).setToken(token).build();
    }

    private static long findToken(List<HeldRole> roles, String role) {
        return roles.stream()
                .filter(r -> r.getRole().equals(role))
                .mapToLong(HeldRole::getToken)
                .findFirst()
                .orElse(0);
    }
}
