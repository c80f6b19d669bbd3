package org.lycheeroad.entry.control;

import java.util.List;
import java.util.function.Consumer;
import org.lycheeroad.coordination.config.TableEvent;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipEvent;
import org.lycheeroad.coordination.roles.StoredRole;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.state.id.EntryId;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Hands each watched key of the store to the service that owns it. */
final class WatchedKeys implements StoreMirror.Handler {
    private static final Logger LOG = LoggerFactory.getLogger(WatchedKeys.class);

    private final TableService mTable;
    private final JobStore mJobs;
    private final List<RoleService> mRoles;
    private final RoleHolders mHolders;
    private final Consumer<MembershipEvent> mMembers;

    WatchedKeys(
            TableService table,
            JobStore jobs,
            List<RoleService> roles,
            RoleHolders holders,
            Consumer<MembershipEvent> members) {
        mTable = table;
        mJobs = jobs;
        mRoles = List.copyOf(roles);
        mHolders = holders;
        mMembers = members;
    }

    @Override
    public void onPut(KeyValue kv) {
        String key = kv.key();
        if (key.equals(StoreKeys.TABLE)) {
            mTable.onStored(kv);
        } else if (key.startsWith(StoreKeys.JOBS)) {
            mJobs.onStored(kv);
        } else if (key.startsWith(StoreKeys.MEMBERS)) {
            onMember(kv);
        } else if (key.startsWith(StoreKeys.ROLES)) {
            onRole(key, kv, kv.modRevision());
        }
    }

    @Override
    public void onDelete(String key, long revision) {
        if (key.startsWith(StoreKeys.JOBS)) {
            mJobs.onDeleted(key);
        } else if (key.startsWith(StoreKeys.MEMBERS)) {
            String entry = key.substring(StoreKeys.MEMBERS.length());
            mMembers.accept(new MembershipEvent.MemberKeyDeleted(new EntryId(entry)));
        } else if (key.startsWith(StoreKeys.ROLES)) {
            onRole(key, null, revision);
        }
    }

    @Override
    public void onSynced() {
        mTable.handle(new TableEvent.StoreSynced());
    }

    private void onMember(KeyValue kv) {
        try {
            mMembers.accept(
                    new MembershipEvent.MemberKeyStored(
                            Json.read(kv.value(), MemberIdentity.class)));
        } catch (JsonException e) {
            LOG.warn("Member {} is not readable: {}", kv.key(), e.getMessage());
        }
    }

    private void onRole(String key, KeyValue kv, long revision) {
        for (RoleService role : mRoles) {
            if (key.equals(StoreKeys.holder(role.role()))) {
                role.onHolder(kv, revision);
            } else if (kv != null && key.equals(StoreKeys.token(role.role()))) {
                role.onToken(kv);
            }
        }
        if (kv != null && !key.endsWith(StoreKeys.TOKEN_SUFFIX)) {
            try {
                StoredRole stored = Json.read(kv.value(), StoredRole.class);
                mHolders.add(key.substring(StoreKeys.ROLES.length()), stored);
            } catch (JsonException e) {
                LOG.warn("Role {} is not readable: {}", key, e.getMessage());
            }
        }
    }
}
