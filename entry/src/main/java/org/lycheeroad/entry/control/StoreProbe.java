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
 * Reads the roles' keys periodically, which also tells whether the store answers.
 *
 * <p>All methods run on the control thread.
 */
final class StoreProbe {
    /** More often than the time after which the store counts as down. */
    private static final long PROBE_MILLIS = 700;

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final ControlRoles mRoles;
    private final ControlListeners mListeners;
    private final Runnable mOnStoreBack;
    private long mNext;
    private boolean mStoreUp;

    /**
     * Creates a probe that sends nothing before its first tick.
     *
     * @param onStoreBack runs at the first answer and at each first answer after silence
     */
    StoreProbe(
            StoreClient store,
            ControlLoop loop,
            ControlRoles roles,
            ControlListeners listeners,
            Runnable onStoreBack) {
        mStore = store;
        mLoop = loop;
        mRoles = roles;
        mListeners = listeners;
        mOnStoreBack = onStoreBack;
    }

    /** Sends a probe when it is due; {@code now} is in milliseconds. */
    void tick(long now) {
        if (now < mNext) {
            return;
        }
        mNext = now + PROBE_MILLIS;
        String end = EtcdJson.prefixEnd(StoreKeys.ROLES);
        mLoop.on(
                mStore.range(Mechanism.ROLES, StoreKeys.ROLES, end),
                (answer, failure) -> {
                    if (failure == null) {
                        onAnswer(now, answer);
                    } else {
                        onFailure(failure);
                    }
                });
    }

    private void onAnswer(long sentAt, RangeResponse answer) {
        Map<String, KeyValue> read = new HashMap<>();
        answer.keyValues().forEach(kv -> read.put(kv.key(), kv));
        for (RoleService role : mRoles.all()) {
            role.handle(new RoleEvent.StoreResponded(sentAt));
            role.onKeys(
                    read.get(StoreKeys.holder(role.role())),
                    read.get(StoreKeys.token(role.role())),
                    answer.revision());
        }
        if (!mStoreUp) {
            mStoreUp = true;
            mListeners.event(EventCode.STORE_ANSWERS, "");
            mOnStoreBack.run();
        }
    }

    private void onFailure(Throwable failure) {
        if (mStoreUp && !mRoles.storeAnswers(ControlLoop.now())) {
            mStoreUp = false;
            mListeners.event(EventCode.STORE_SILENT, failure.getMessage());
        }
    }
}
