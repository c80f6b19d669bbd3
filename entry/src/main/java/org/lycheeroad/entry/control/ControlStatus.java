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

/** Describes members, roles, table and store for the operators' status page. */
final class ControlStatus {
    private final MemberIdentity mSelf;
    private final MembershipTracker mMembers;
    private final List<RoleService> mRoles;
    private final TableService mTable;
    private final JobStore mJobs;
    private final StoreClient mStore;

    ControlStatus(
            MemberIdentity self,
            MembershipTracker members,
            List<RoleService> roles,
            TableService table,
            JobStore jobs,
            StoreClient store) {
        mSelf = self;
        mMembers = members;
        mRoles = List.copyOf(roles);
        mTable = table;
        mJobs = jobs;
        mStore = store;
    }

    /** Returns the status as JSON; to be called on the control thread. */
    String describe(boolean ready, boolean draining, boolean storeAnswers, long now) {
        Map<String, Object> status = new LinkedHashMap<>();
        status.put("entry", mSelf.id());
        status.put("instance", mSelf.instance());
        status.put("region", mSelf.region());
        status.put("ready", ready);
        status.put("draining", draining);
        status.put("tableVersion", mTable.version());
        status.put("storeAnswers", storeAnswers);
        status.put("storeOpen", mStore.isCircuitOpen());
        if (mStore instanceof RateLimitedStoreClient guarded) {
            status.put("storeCalls", guarded.callCounts());
        }
        status.put("jobsNotSaved", mJobs.unsaved());
        status.put("members", members(now));
        status.put("roles", roles());
        return Json.write(status);
    }

    private Map<String, Object> members(long now) {
        Map<String, Object> members = new LinkedHashMap<>();
        for (MemberIdentity member : mMembers.otherMembers()) {
            Map<String, Object> m = new LinkedHashMap<>();
            m.put("instance", member.instance());
            m.put("region", member.region());
            m.put("live", mMembers.isLive(member.id(), now));
            m.put("silentMs", mMembers.millisSinceHeartbeat(member.id(), now).orElse(-1L));
            members.put(member.id().value(), m);
        }
        return members;
    }

    private Map<String, Object> roles() {
        Map<String, Object> roles = new LinkedHashMap<>();
        for (RoleService role : mRoles) {
            Map<String, Object> r = new LinkedHashMap<>();
            r.put("holder", role.election().holder().map(EntryId::value).orElse(""));
            r.put("token", role.election().highestToken());
            r.put("held", role.election().heldToken() != 0);
            roles.put(role.role(), r);
        }
        return roles;
    }
}
