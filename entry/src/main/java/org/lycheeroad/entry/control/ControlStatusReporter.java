package org.lycheeroad.entry.control;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.transport.store.RateLimitedStoreClient;
import org.lycheeroad.transport.store.StoreClient;

/** Reports members, roles, table and store as JSON for the operators' status page. */
final class ControlStatusReporter {
    private final MemberIdentity mSelf;
    private final MembershipTracker mMembershipTracker;
    private final List<RoleService> mRoles;
    private final TableService mTableService;
    private final JobStore mJobStore;
    private final StoreClient mStore;

    ControlStatusReporter(
            MemberIdentity self,
            MembershipTracker members,
            List<RoleService> roles,
            TableService tableService,
            JobStore jobStore,
            StoreClient store) {
        mSelf = self;
        mMembershipTracker = members;
        mRoles = List.copyOf(roles);
        mTableService = tableService;
        mJobStore = jobStore;
        mStore = store;
    }

    /** Returns the status as JSON; must be called on the control thread. */
    String toJson(boolean ready, boolean draining, boolean storeReachable, long nowMillis) {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("entry", mSelf.id());
        status.put("instance", mSelf.instance());
        status.put("region", mSelf.region());
        status.put("ready", ready);
        status.put("draining", draining);
        status.put("tableVersion", mTableService.version());
        status.put("storeAnswers", storeReachable);
        status.put("storeOpen", mStore.isCircuitOpen());
        if (mStore instanceof RateLimitedStoreClient guarded) {
            status.put("storeCalls", guarded.callCounts());
        }
        status.put("jobsNotSaved", mJobStore.pendingWriteCount());
        status.put("members", describeMembers(nowMillis));
        status.put("roles", describeRoles());
        return Json.write(status);
    }

    private Map<String, Object> describeMembers(long nowMillis) {
        Map<String, Object> members = new LinkedHashMap<>();
        for (MemberIdentity member : mMembershipTracker.otherMembers()) {
            Map<String, Object> memberJson = new LinkedHashMap<>();
            memberJson.put("instance", member.instance());
            memberJson.put("region", member.region());
            memberJson.put("live", mMembershipTracker.isLive(member.id(), nowMillis));
            memberJson.put(
                    "silentMs",
                    mMembershipTracker.millisSinceHeartbeat(member.id(), nowMillis).orElse(-1L));
            members.put(member.id().value(), memberJson);
        }
        return members;
    }

    private Map<String, Object> describeRoles() {
        Map<String, Object> roles = new LinkedHashMap<>();
        for (RoleService role : mRoles) {
            Map<String, Object> roleJson = new LinkedHashMap<>();
            roleJson.put("holder", role.election().holder().map(EntryId::value).orElse(""));
            roleJson.put("token", role.election().highestToken());
            roleJson.put("held", role.election().heldToken() != 0);
            roles.put(role.roleName(), roleJson);
        }
        return roles;
    }
}
