package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.lycheeroad.protocol.store.EtcdJson;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.WatchEvent;
import org.lycheeroad.protocol.store.WatchResponse;
import org.lycheeroad.transport.store.ExponentialBackoff;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.WatchListener;

/**
 * Delivers the watched keys and their changes: one initial read, then a watch from the next
 * revision.
 *
 * <p>A watch that ends is reopened from the last revision, so nothing is read twice. Responses
 * older than the delivered state are dropped. All methods run on the control thread.
 */
final class StoreWatcher {
    /** Receives changes in revision order. */
    interface ChangeHandler {
        /** Called when a key was written. */
        void onPut(KeyValue kv);

        /** Called when a key was deleted. */
        void onDelete(String key, long revision);

        /** Called when all changes received so far have been delivered. */
        void onSynced();
    }

    /** Watches are renewed periodically, because a hung connection may go unnoticed. */
    private static final long MIN_RENEWAL_INTERVAL_MILLIS = 30_000;

    private static final long MIN_RETRY_DELAY_MILLIS = 200;
    private static final long MAX_RETRY_DELAY_MILLIS = 2_000;

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final ChangeHandler mHandler;
    private final ExponentialBackoff mBackOff;
    private final Random mRandom;
    private final Map<String, Long> mRevisionByKey = new HashMap<>();
    private long mRevision;
    private boolean mInitialReadDone;
    private boolean mRetryScheduled;
    private int mWatchGeneration;
    private AutoCloseable mWatch;
    private long mWatchOpenedAtMillis;
    private long mRenewalIntervalMillis;
    private boolean mStopped;

    StoreWatcher(StoreClient store, ControlLoop loop, ChangeHandler handler, Random random) {
        mStore = store;
        mLoop = loop;
        mHandler = handler;
        mRandom = random;
        mBackOff = new ExponentialBackoff(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS, random);
    }

    /** Reads all keys, or resumes watching from the last revision. */
    void open() {
        mRetryScheduled = false;
        if (mStopped) {
            return;
        }
        if (mInitialReadDone) {
            openWatch();
            return;
        }
        String end = EtcdJson.prefixEnd(StoreKeys.WATCHED_PREFIX);
        mLoop.whenComplete(
                mStore.range(Mechanism.WATCH, StoreKeys.WATCHED_PREFIX, end), this::onRange);
    }

    /** Reopens the watch, as after a store outage, because its connection may hang. */
    void reopen() {
        if (mInitialReadDone && !mRetryScheduled) {
            scheduleRetry();
        }
    }

    void tick(long nowMillis) {
        if (mWatch != null && nowMillis - mWatchOpenedAtMillis > mRenewalIntervalMillis) {
            mWatchOpenedAtMillis = nowMillis;
            openWatch();
        }
    }

    void stop() {
        mStopped = true;
        closeWatch();
    }

    private void onRange(RangeResponse response, Throwable failure) {
        if (failure != null || response.revision() < mRevision) {
            scheduleRetry();
            return;
        }
        mRevision = response.revision();
        Set<String> deletedKeys = new HashSet<>(mRevisionByKey.keySet());
        for (KeyValue kv : response.keyValues()) {
            deletedKeys.remove(kv.key());
            handlePut(kv);
        }
        deletedKeys.forEach(this::handleDelete);
        mInitialReadDone = true;
        mHandler.onSynced();
        openWatch();
    }

    private void openWatch() {
        closeWatch();
        int generation = ++mWatchGeneration;
        mWatchOpenedAtMillis = ControlLoop.nowMillis();
        mRenewalIntervalMillis =
                MIN_RENEWAL_INTERVAL_MILLIS
                        + mRandom.nextInt((int) MIN_RENEWAL_INTERVAL_MILLIS / 2);
        mWatch =
                mStore.watch(
                        StoreKeys.WATCHED_PREFIX,
                        mRevision + 1,
                        new WatchListener() {
                            @Override
                            public void onResponse(WatchResponse response) {
                                mLoop.execute(
                                        () ->
                                                StoreWatcher.this.onWatchAnswer(
                                                        generation, response));
                            }

                            @Override
                            public void onEnd(Throwable cause) {
                                mLoop.execute(() -> StoreWatcher.this.onWatchEnd(generation));
                            }
                        });
    }

    private void onWatchAnswer(int generation, WatchResponse response) {
        if (generation != mWatchGeneration) {
            return;
        }
        if (response.compactRevision() > 0) {
            mInitialReadDone = false;
            mRevision = 0;
            scheduleRetry();
            return;
        }
        if (response.canceled()) {
            scheduleRetry();
            return;
        }
        mBackOff.reset();
        for (WatchEvent event : response.events()) {
            KeyValue kv = event.keyValue();
            mRevision = Math.max(mRevision, kv.modRevision());
            if (!event.deleted()) {
                handlePut(kv);
            } else if (kv.modRevision() > mRevisionByKey.getOrDefault(kv.key(), 0L)) {
                handleDelete(kv.key());
            }
        }
        mHandler.onSynced();
    }

    private void onWatchEnd(int generation) {
        if (generation == mWatchGeneration && !mRetryScheduled) {
            scheduleRetry();
        }
    }

    private void handlePut(KeyValue kv) {
        if (kv.modRevision() > mRevisionByKey.getOrDefault(kv.key(), 0L)) {
            mRevisionByKey.put(kv.key(), kv.modRevision());
            mHandler.onPut(kv);
        }
    }

    private void handleDelete(String key) {
        if (mRevisionByKey.remove(key) != null) {
            mHandler.onDelete(key, mRevision);
        }
    }

    private void scheduleRetry() {
        closeWatch();
        mWatchGeneration++;
        mRetryScheduled = true;
        mLoop.schedule(mBackOff.nextDelayMs(), this::open);
    }

    private void closeWatch() {
        if (mWatch != null) {
            try {
                mWatch.close();
            } catch (Exception e) {
                // The connection is already closed.
                mWatchGeneration++;
            }
            mWatch = null;
        }
    }
}
