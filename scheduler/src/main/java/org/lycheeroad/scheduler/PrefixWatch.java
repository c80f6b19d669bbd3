package org.lycheeroad.scheduler;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.Page;
import org.lycheeroad.scheduler.port.MetadataStore.WatchResponse;
import org.lycheeroad.scheduler.port.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches all keys with a prefix: lists them once, then long-polls the store for changes.
 *
 * <p>Calls that fail are given more time, as a large change may take seconds on a slow link. A call
 * may also have been lost, for example during an outage of the store, so another one is sent after
 * the usual time. The first response counts.
 */
public final class PrefixWatch {
    /** Receives the results of a watch; all methods are called on the watch's executor. */
    public interface Listener {
        /**
         * Called with all existing keys; any other key does not exist or has been deleted.
         *
         * <p>Implementations use {@link #forEach}, so that a key that they cannot handle does not
         * hide the others.
         */
        void onSnapshot(List<KeyValue> keyValues);

        /** Called when a key was written. */
        void onPut(KeyValue keyValue);

        /** Called when a key was deleted. */
        void onDelete(String key);

        /** Called when the store has confirmed that all changes up to a revision were delivered. */
        default void onUpToDate(long revision) {}

        /** Called for each failed request to the store. */
        default void onFailure() {}
    }

    private static final Logger LOG = LoggerFactory.getLogger(PrefixWatch.class);

    /** Small compared with the bounds of seconds within which a change must take effect. */
    private static final long RETRY_MS = 150;

    /** Stands for the revision while the keys are being listed. */
    private static final long NOT_LISTED = -1;

    /** Several times the network latency between regions. */
    private static final long TIMEOUT_SLACK_MS = 900;

    /**
     * How many times the retry delay and the time-out slack are doubled after consecutive failures.
     * A large change that many VMs fetch at once may take seconds on a link of low bandwidth.
     */
    private static final int MAX_BACKOFF_DOUBLINGS = 2;

    private final MetadataStore mStore;
    private final SerialExecutor mExecutor;
    private final String mPrefix;
    private final long mLongPollMs;
    private final Listener mListener;
    private boolean mStopped;
    private int mBackoffDoublings;

    /** The revision up to which all changes have been delivered. */
    private long mRevision = NOT_LISTED;

    /** The number of the newest call that waits for changes after {@link #mRevision}. */
    private int mNewestCall;

    public PrefixWatch(
            MetadataStore store,
            SerialExecutor executor,
            String prefix,
            long longPollMs,
            Listener listener) {
        mStore = store;
        mExecutor = executor;
        mPrefix = prefix;
        mLongPollMs = longPollMs;
        mListener = listener;
    }

    /** Lists the keys and then watches them; must be called on the watch's executor. */
    public void start() {
        list("", new ArrayList<>(), Long.MAX_VALUE);
    }

    /** Stops all calls to the listener; must be called on the watch's executor. */
    public void stop() {
        mStopped = true;
    }

    /** Passes each key to an action; a failure for one key is logged and the others follow. */
    public static void forEach(List<KeyValue> keyValues, Consumer<KeyValue> action) {
        for (KeyValue keyValue : keyValues) {
            callListener(keyValue.key(), () -> action.accept(keyValue));
        }
    }

    /** Calls the listener; a failure must not end the watch, which nothing would start again. */
    private static void callListener(String subject, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            LOG.error("Cannot handle {} of a watch", subject, e);
        }
    }

    private void list(String afterKey, List<KeyValue> listed, long lowestRevisionSoFar) {
        mExecutor.whenComplete(
                mStore.list(mPrefix, afterKey),
                (page, e) -> onPage(page, e, listed, lowestRevisionSoFar));
    }

    private void onPage(
            Page page, Throwable failure, List<KeyValue> listed, long lowestRevisionSoFar) {
        if (mStopped) {
            return;
        }
        if (failure != null) {
            mListener.onFailure();
            mExecutor.schedule(RETRY_MS, this::restart);
            return;
        }
        listed.addAll(page.keyValues());
        // The pages are not one consistent snapshot, so changes since the first page are repeated.
        long lowestRevision = Math.min(lowestRevisionSoFar, page.revision());
        if (page.hasMore()) {
            list(page.nextAfterKey(), listed, lowestRevision);
            return;
        }
        callListener("the listing", () -> mListener.onSnapshot(listed));
        callListener("the revision", () -> mListener.onUpToDate(lowestRevision));
        mRevision = lowestRevision;
        watch();
    }

    private void restart() {
        if (!mStopped) {
            start();
        }
    }

    private void watch() {
        if (mStopped) {
            return;
        }
        int call = ++mNewestCall;
        long afterRevision = mRevision;
        mExecutor.whenComplete(
                mStore.watch(
                        mPrefix, afterRevision, mLongPollMs, TIMEOUT_SLACK_MS << mBackoffDoublings),
                (response, e) -> {
                    if (mStopped) {
                        return;
                    }
                    if (e == null) {
                        onChanges(response, call, afterRevision);
                    } else if (call == mNewestCall) {
                        onWatchFailure(e);
                    }
                });
        if (mBackoffDoublings > 0) {
            mExecutor.schedule(mLongPollMs + TIMEOUT_SLACK_MS, () -> repeatIfUnanswered(call));
        }
    }

    private void repeatIfUnanswered(int call) {
        if (!mStopped && call == mNewestCall) {
            LOG.info("Store did not answer a watch of {} in time; repeating it", mPrefix);
            mListener.onFailure();
            increaseBackoff();
            watch();
        }
    }

    private void onChanges(WatchResponse response, int call, long afterRevision) {
        if (afterRevision != mRevision) {
            // Another call has already delivered these changes.
            return;
        }
        mBackoffDoublings = 0;
        for (MetadataStore.Change change : response.changes()) {
            if (change.keyValue() == null) {
                callListener(change.key(), () -> mListener.onDelete(change.key()));
            } else {
                callListener(change.key(), () -> mListener.onPut(change.keyValue()));
            }
        }
        mRevision = Math.max(afterRevision, response.revision());
        callListener("the revision", () -> mListener.onUpToDate(mRevision));
        // Unless the revision is new, a newer call still waits for the changes after it.
        if (call == mNewestCall || afterRevision != mRevision) {
            watch();
        }
    }

    private void onWatchFailure(Throwable failure) {
        // The failed call must not be repeated once its usual time has passed.
        int retry = ++mNewestCall;
        if (StoreException.kindOf(failure) == StoreException.Kind.COMPACTED) {
            LOG.info(
                    "Store compacted the history of {} after revision {}; listing the keys again",
                    mPrefix,
                    mRevision);
            mRevision = NOT_LISTED;
            start();
            return;
        }
        mListener.onFailure();
        mExecutor.schedule(
                RETRY_MS << mBackoffDoublings,
                () -> {
                    if (mNewestCall == retry) {
                        watch();
                    }
                });
        increaseBackoff();
    }

    private void increaseBackoff() {
        mBackoffDoublings = Math.min(mBackoffDoublings + 1, MAX_BACKOFF_DOUBLINGS);
    }
}
