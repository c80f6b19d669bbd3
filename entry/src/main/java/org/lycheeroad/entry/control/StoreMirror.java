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
 * Follows all watched keys with one read and then one watch from the revision after it.
 *
 * <p>A watch that ends is opened again from the last revision, so nothing is read twice. Answers
 * that are older than what was seen are dropped. All methods run on the control thread.
 */
final class StoreMirror {
    /** Receives changes in the order of their revisions. */
    interface Handler {
        /** A key was written. */
        void onPut(KeyValue kv);

        /** A key was deleted. */
        void onDelete(String key, long revision);

        /** All changes up to now were delivered. */
        void onSynced();
    }

    /** A watch whose connection hangs unnoticed is replaced after this time. */
    private static final long RENEW_MILLIS = 30_000;

    private static final long FIRST_RETRY_MILLIS = 200;
    private static final long MAX_RETRY_MILLIS = 2_000;

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final Handler mHandler;
    private final ExponentialBackoff mBackOff;
    private final Random mRandom;
    private final Map<String, Long> mKnown = new HashMap<>();
    private long mRevision;
    private boolean mLoaded;
    private boolean mWaiting;
    private int mGeneration;
    private AutoCloseable mWatch;
    private long mOpenedAt;
    private long mRenewAfter;
    private boolean mStopped;

    StoreMirror(StoreClient store, ControlLoop loop, Handler handler, Random random) {
        mStore = store;
        mLoop = loop;
        mHandler = handler;
        mRandom = random;
        mBackOff = new ExponentialBackoff(FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, random);
    }

    /** Reads all keys, or goes on watching from the last revision. */
    void open() {
        mWaiting = false;
        if (mStopped) {
            return;
        }
        if (mLoaded) {
            watch();
            return;
        }
        String end = EtcdJson.prefixEnd(StoreKeys.WATCHED);
        mLoop.on(mStore.range(Mechanism.WATCH, StoreKeys.WATCHED, end), this::onRange);
    }

    /** Opens the watch again, such as after an outage, since its connection may hang. */
    void reopen() {
        if (mLoaded && !mWaiting) {
            retry();
        }
    }

    void tick(long now) {
        if (mWatch != null && now - mOpenedAt > mRenewAfter) {
            mOpenedAt = now;
            watch();
        }
    }

    void stop() {
        mStopped = true;
        close();
    }

    private void onRange(RangeResponse answer, Throwable failure) {
        if (failure != null || answer.revision() < mRevision) {
            retry();
            return;
        }
        mRevision = answer.revision();
        Set<String> gone = new HashSet<>(mKnown.keySet());
        for (KeyValue kv : answer.keyValues()) {
            gone.remove(kv.key());
            put(kv);
        }
        gone.forEach(this::delete);
        mLoaded = true;
        mHandler.onSynced();
        watch();
    }

    private void watch() {
        close();
        int generation = ++mGeneration;
        mOpenedAt = ControlLoop.now();
        mRenewAfter = RENEW_MILLIS + mRandom.nextInt((int) RENEW_MILLIS / 2);
        mWatch =
                mStore.watch(
                        StoreKeys.WATCHED,
                        mRevision + 1,
                        new WatchListener() {
                            @Override
                            public void onResponse(WatchResponse answer) {
                                mLoop.execute(() -> StoreMirror.this.onAnswer(generation, answer));
                            }

                            @Override
                            public void onEnd(Throwable cause) {
                                mLoop.execute(() -> StoreMirror.this.onEnd(generation));
                            }
                        });
    }

    private void onAnswer(int generation, WatchResponse answer) {
        if (generation != mGeneration) {
            return;
        }
        if (answer.compactRevision() > 0) {
            mLoaded = false;
            mRevision = 0;
            retry();
            return;
        }
        if (answer.canceled()) {
            retry();
            return;
        }
        mBackOff.reset();
        for (WatchEvent event : answer.events()) {
            KeyValue kv = event.keyValue();
            mRevision = Math.max(mRevision, kv.modRevision());
            if (!event.deleted()) {
                put(kv);
            } else if (kv.modRevision() > mKnown.getOrDefault(kv.key(), 0L)) {
                delete(kv.key());
            }
        }
        mHandler.onSynced();
    }

    private void onEnd(int generation) {
        if (generation == mGeneration && !mWaiting) {
            retry();
        }
    }

    private void put(KeyValue kv) {
        if (kv.modRevision() > mKnown.getOrDefault(kv.key(), 0L)) {
            mKnown.put(kv.key(), kv.modRevision());
            mHandler.onPut(kv);
        }
    }

    private void delete(String key) {
        if (mKnown.remove(key) != null) {
            mHandler.onDelete(key, mRevision);
        }
    }

    private void retry() {
        close();
        mGeneration++;
        mWaiting = true;
        mLoop.later(mBackOff.nextDelayMs(), this::open);
    }

    private void close() {
        if (mWatch != null) {
            try {
                mWatch.close();
            } catch (Exception e) {
                // The connection is gone already.
                mGeneration++;
            }
            mWatch = null;
        }
    }
}
