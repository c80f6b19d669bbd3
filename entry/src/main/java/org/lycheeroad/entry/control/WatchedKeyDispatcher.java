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

/** Dispatches changes of watched keys to the services that own them. */
final class WatchedKeyDispatcher implements StoreWatcher.ChangeHandler {
    private static final Logger LOG = LoggerFactory.getLogger(WatchedKeyDispatcher.class);

    private final TableService mTableService;
    private final JobStore mJobStore;
    private final List<RoleService> mRoles;
    private final RoleHolders mRoleHolders;
    private final Consumer<MembershipEvent> mMembershipListener;

    WatchedKeyDispatcher(
            TableService tableService,
            JobStore jobStore,
            List<RoleService> roles,
            RoleHolders roleHolders,
            Consumer<MembershipEvent> membershipListener) {
        mTableService = tableService;
        mJobStore = jobStore;
        mRoles = List.copyOf(roles);
        mRoleHolders = roleHolders;
        mMembershipListener = membershipListener;
    }

    @Override
    public void onPut(KeyValue kv) {
        String key = kv.key();
        if (key.equals(StoreKeys.TABLE_KEY)) {
            mTableService.onPut(kv);
        } else if (key.startsWith(StoreKeys.JOBS_PREFIX)) {
            mJobStore.onPut(kv);
        } else if (key.startsWith(StoreKeys.MEMBERS_PREFIX)) {
            onMemberChanged(kv);
        } else if (key.startsWith(StoreKeys.ROLES_PREFIX)) {
            onRoleChanged(key, kv, kv.modRevision());
        }
    }

    @Override
    public void onDelete(String key, long revision) {
        if (key.startsWith(StoreKeys.JOBS_PREFIX)) {
            mJobStore.onDelete(key);
        } else if (key.startsWith(StoreKeys.MEMBERS_PREFIX)) {
            String entry = key.substring(StoreKeys.MEMBERS_PREFIX.length());
            mMembershipListener.accept(new MembershipEvent.MemberKeyDeleted(new EntryId(entry)));
        } else if (key.startsWith(StoreKeys.ROLES_PREFIX)) {
            onRoleChanged(key, null, revision);
        }
    }

    @Override
    public void onSynced() {
        mTableService.handle(new TableEvent.StoreSynced());
    }

    private void onMemberChanged(KeyValue kv) {
        try {
            mMembershipListener.accept(
                    new MembershipEvent.MemberKeyStored(
                            Json.read(kv.value(), MemberIdentity.class)));
        } catch (JsonException e) {
            LOG.warn(
                    "Ignored member at store key {} that cannot be parsed: {}",
                    kv.key(),
                    e.getMessage());
        }
    }

    private void onRoleChanged(String key, KeyValue kv, long revision) {
        for (RoleService role : mRoles) {
            if (key.equals(StoreKeys.roleHolderKey(role.roleName()))) {
                role.onHolderChanged(kv, revision);
            } else if (kv != null && key.equals(StoreKeys.roleTokenKey(role.roleName()))) {
                role.onTokenChanged(kv);
            }
        }
        if (kv != null && !key.endsWith(StoreKeys.TOKEN_SUFFIX)) {
            try {
                StoredRole stored = Json.read(kv.value(), StoredRole.class);
                mRoleHolders.observe(key.substring(StoreKeys.ROLES_PREFIX.length()), stored);
            } catch (JsonException e) {
                LOG.warn(
                        "Ignored role holder at store key {} that cannot be parsed: {}",
                        key,
                        e.getMessage());
            }
        }
    }
}
