package org.lycheeroad.scheduler;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.MetadataStore.Page;
import org.lycheeroad.scheduler.port.MetadataStore.WatchResponse;
import org.lycheeroad.scheduler.port.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Follows the keys with a prefix: lists them once, then waits for changes. */
public final class PrefixWatch {
    /** What a watch tells, on its strand. */
    public interface Listener {
        /** All present keys; keys not among them are gone. */
        void onSnapshot(List<KeyValue> items);

        /** A key was written. */
        void onPut(KeyValue item);

        /** A key was removed. */
        void onDelete(String key);

        /** The store has just confirmed that everything up to a revision has been told. */
        default void onUpToDate(long revision) {}

        /** The store does not answer; called for each failed call. */
        default void onFailure() {}
    }

    private static final Logger LOG = LoggerFactory.getLogger(PrefixWatch.class);

    /** Short beside the bounds of seconds within which changes count. */
    private static final long RETRY_MS = 150;

    /** Several times the way between regions. */
    private static final long TIMEOUT_SLACK_MS = 900;

    /**
     * How often the pause and the slack are doubled after failures: a change of many values that
     * many VMs ask for at once may take seconds on a narrow link.
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
            SerialExecutor strand,
            String prefix,
            long waitMs,
            Listener listener) {
        mStore = store;
        mExecutor = strand;
        mPrefix = prefix;
        mLongPollMs = waitMs;
        mListener = listener;
    }

    /** Starts with a listing; to be called on the strand. */
    public void start() {
        list("", new ArrayList<>(), Long.MAX_VALUE);
    }

    /** Tells nothing more; to be called on the strand. */
    public void stop() {
        mStopped = true;
    }

    private void list(String after, List<KeyValue> before, long asOf) {
        mExecutor.whenComplete(
                mStore.list(mPrefix, after), (page, e) -> onPage(page, e, before, asOf));
    }

    private void onPage(Page page, Throwable failure, List<KeyValue> items, long asOf) {
        if (mStopped) {
            return;
        }
        if (failure != null) {
            mListener.onFailure();
            mExecutor.schedule(RETRY_MS, this::restart);
            return;
        }
        items.addAll(page.keyValues());
        // Pages are no snapshot: changes since the first page are told again.
        long from = Math.min(asOf, page.revision());
        if (page.hasMore() && !page.keyValues().isEmpty()) {
            list(page.keyValues().get(page.keyValues().size() - 1).key(), items, from);
            return;
        }
        mListener.onSnapshot(items);
        mListener.onUpToDate(from);
        watch(from);
    }

    private void restart() {
        if (!mStopped) {
            start();
        }
    }

    private void watch(long after) {
        if (!mStopped) {
            mExecutor.whenComplete(
                    mStore.watch(
                            mPrefix, after, mLongPollMs, TIMEOUT_SLACK_MS << mBackoffDoublings),
                    (c, e) -> onWatchResponse(c, e, after));
        }
    }

    private void onWatchResponse(WatchResponse changes, Throwable failure, long after) {
        if (mStopped) {
            return;
        }
        if (failure == null) {
            mBackoffDoublings = 0;
            for (MetadataStore.Change change : changes.changes()) {
                if (change.keyValue() == null) {
                    mListener.onDelete(change.key());
                } else {
                    mListener.onPut(change.keyValue());
                }
            }
            mListener.onUpToDate(Math.max(after, changes.revision()));
            watch(Math.max(after, changes.revision()));
            return;
        }
        if (StoreException.kindOf(failure) == StoreException.Kind.COMPACTED) {
            LOG.info("History of {} behind revision {} is gone, listing again", mPrefix, after);
            start();
            return;
        }
        mListener.onFailure();
        mExecutor.schedule(RETRY_MS << mBackoffDoublings, () -> watch(after));
        mBackoffDoublings = Math.min(mBackoffDoublings + 1, MAX_BACKOFF_DOUBLINGS);
    }
}
