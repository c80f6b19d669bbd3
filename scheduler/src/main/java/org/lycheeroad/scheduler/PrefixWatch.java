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

/** Watches all keys with a prefix: lists them once, then long-polls the store for changes. */
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
        if (page.hasMore() && !page.keyValues().isEmpty()) {
            list(page.keyValues().get(page.keyValues().size() - 1).key(), listed, lowestRevision);
            return;
        }
        callListener("the listing", () -> mListener.onSnapshot(listed));
        callListener("the revision", () -> mListener.onUpToDate(lowestRevision));
        watch(lowestRevision);
    }

    private void restart() {
        if (!mStopped) {
            start();
        }
    }

    private void watch(long afterRevision) {
        if (!mStopped) {
            mExecutor.whenComplete(
                    mStore.watch(
                            mPrefix,
                            afterRevision,
                            mLongPollMs,
                            TIMEOUT_SLACK_MS << mBackoffDoublings),
                    (response, e) -> onWatchResponse(response, e, afterRevision));
        }
    }

    private void onWatchResponse(WatchResponse response, Throwable failure, long afterRevision) {
        if (mStopped) {
            return;
        }
        if (failure == null) {
            mBackoffDoublings = 0;
            for (MetadataStore.Change change : response.changes()) {
                if (change.keyValue() == null) {
                    callListener(change.key(), () -> mListener.onDelete(change.key()));
                } else {
                    callListener(change.key(), () -> mListener.onPut(change.keyValue()));
                }
            }
            long revision = Math.max(afterRevision, response.revision());
            callListener("the revision", () -> mListener.onUpToDate(revision));
            watch(revision);
            return;
        }
        if (StoreException.kindOf(failure) == StoreException.Kind.COMPACTED) {
            LOG.info(
                    "Store compacted the history of {} after revision {}; listing the keys again",
                    mPrefix,
                    afterRevision);
            start();
            return;
        }
        mListener.onFailure();
        mExecutor.schedule(RETRY_MS << mBackoffDoublings, () -> watch(afterRevision));
        mBackoffDoublings = Math.min(mBackoffDoublings + 1, MAX_BACKOFF_DOUBLINGS);
    }
}
