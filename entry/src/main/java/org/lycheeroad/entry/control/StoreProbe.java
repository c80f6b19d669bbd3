package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeAnswer;
import org.lycheeroad.protocol.store.StoreJson;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;

/**
 * Reads the roles' keys periodically, which also tells whether the store answers.
 *
 * <p>All methods run on the control thread.
 */
final class StoreProbe {
    /** More often than the time after which the store counts as down. */
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
     * @param onStoreBack runs at the first answer and at each first answer after silence
     */
    StoreProbe(
            StoreClient store,
            ControlLoop loop,
            ControlRoles roles,
            ControlListenerRegistry listeners,
            Runnable onStoreBack) {
        mStore = store;
        mLoop = loop;
        mRoles = roles;
        mListeners = listeners;
        mOnStoreRecovered = onStoreBack;
    }

    /** Sends a probe when it is due; {@code now} is in milliseconds. */
    void tick(long now) {
        if (now < mNextProbeAtMillis) {
            return;
        }
        mNextProbeAtMillis = now + PROBE_INTERVAL_MILLIS;
        String end = StoreJson.prefixEnd(StoreKeys.ROLES_PREFIX);
        mLoop.whenComplete(
                mStore.range(Mechanism.ROLES, StoreKeys.ROLES_PREFIX, end),
                (answer, failure) -> {
                    if (failure == null) {
                        onAnswer(now, answer);
                    } else {
                        onFailure(failure);
                    }
                });
    }

    private void onAnswer(long sentAt, RangeAnswer answer) {
        Map<String, KeyValue> read = new HashMap<>();
        answer.kvs().forEach(kv -> read.put(kv.key(), kv));
        for (RoleService role : mRoles.all()) {
            role.handle(new RoleEvent.StoreAnswered(sentAt));
            role.onKeysRead(
                    read.get(StoreKeys.roleHolderKey(role.role())),
                    read.get(StoreKeys.roleTokenKey(role.role())),
                    answer.revision());
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
