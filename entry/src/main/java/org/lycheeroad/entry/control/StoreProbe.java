package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.protocol.store.EtcdJson;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;

/**
 * Reads the roles' keys periodically, which also detects whether the store responds.
 *
 * <p>All methods run on the control thread.
 */
final class StoreProbe {
    /** Less than the time without a response after which the store counts as down. */
    private static final long PROBE_INTERVAL_MILLIS = 700;

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final ControlRoles mRoles;
    private final ControlListenerRegistry mListeners;
    private final Runnable mOnStoreRecovered;
    private long mNextProbeAtMillis;
    private boolean mStoreReachable;

    /**
     * Creates a probe that sends nothing before its first tick.
     *
     * @param onStoreRecovered runs at the first response and at the first response after each
     *     outage
     */
    StoreProbe(
            StoreClient store,
            ControlLoop loop,
            ControlRoles roles,
            ControlListenerRegistry listeners,
            Runnable onStoreRecovered) {
        mStore = store;
        mLoop = loop;
        mRoles = roles;
        mListeners = listeners;
        mOnStoreRecovered = onStoreRecovered;
    }

    /** Sends a probe if it is due. */
    void tick(long nowMillis) {
        if (nowMillis < mNextProbeAtMillis) {
            return;
        }
        mNextProbeAtMillis = nowMillis + PROBE_INTERVAL_MILLIS;
        String end = EtcdJson.prefixEnd(StoreKeys.ROLES_PREFIX);
        mLoop.whenComplete(
                mStore.range(Mechanism.ROLES, StoreKeys.ROLES_PREFIX, end),
                (response, failure) -> {
                    if (failure == null) {
                        onResponse(nowMillis, response);
                    } else {
                        onFailure(failure);
                    }
                });
    }

    private void onResponse(long sentAtMillis, RangeResponse response) {
        Map<String, KeyValue> keyValues = new HashMap<>();
        response.keyValues().forEach(kv -> keyValues.put(kv.key(), kv));
        for (RoleService role : mRoles.all()) {
            role.handle(new RoleEvent.StoreResponded(sentAtMillis));
            role.onKeysRead(
                    keyValues.get(StoreKeys.roleHolderKey(role.roleName())),
                    keyValues.get(StoreKeys.roleTokenKey(role.roleName())),
                    response.revision());
        }
        if (!mStoreReachable) {
            mStoreReachable = true;
            mListeners.recordEvent(EventCode.STORE_ANSWERS, "");
            mOnStoreRecovered.run();
        }
    }

    private void onFailure(Throwable failure) {
        if (mStoreReachable && !mRoles.isStoreReachable(ControlLoop.nowMillis())) {
            mStoreReachable = false;
            mListeners.recordEvent(EventCode.STORE_SILENT, failure.getMessage());
        }
    }
}
