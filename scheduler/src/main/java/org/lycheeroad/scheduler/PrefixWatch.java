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
        void onItem(KeyValue item);

        /** A key was removed. */
        void onRemoved(String key);

        /** The store has just confirmed that everything up to a revision has been told. */
        default void onCurrent(long revision) {}

        /** The store does not answer; called for each failed call. */
        default void onFailure() {}
    }

    private static final Logger LOG = LoggerFactory.getLogger(PrefixWatch.class);

    /** Short beside the bounds of seconds within which changes count. */
    private static final long RETRY_MS = 150;

    /** Several times the way between regions. */
    private static final long SLACK_MS = 900;

    /**
     * How often the pause and the slack are doubled after failures: a change of many values that
     * many VMs ask for at once may take seconds on a narrow link.
     */
    private static final int MAX_DOUBLINGS = 2;

    private final MetadataStore mStore;
    private final Strand mStrand;
    private final String mPrefix;
    private final long mWaitMs;
    private final Listener mListener;
    private boolean mStopped;
    private int mFailures;

    public PrefixWatch(
            MetadataStore store, Strand strand, String prefix, long waitMs, Listener listener) {
        mStore = store;
        mStrand = strand;
        mPrefix = prefix;
        mWaitMs = waitMs;
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
        mStrand.whenDone(mStore.list(mPrefix, after), (page, e) -> onPage(page, e, before, asOf));
    }

    private void onPage(Page page, Throwable failure, List<KeyValue> items, long asOf) {
        if (mStopped) {
            return;
        }
        if (failure != null) {
            mListener.onFailure();
            mStrand.schedule(RETRY_MS, this::restart);
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
        mListener.onCurrent(from);
        watch(from);
    }

    private void restart() {
        if (!mStopped) {
            start();
        }
    }

    private void watch(long after) {
        if (!mStopped) {
            mStrand.whenDone(
                    mStore.watch(mPrefix, after, mWaitMs, SLACK_MS << mFailures),
                    (c, e) -> onChanges(c, e, after));
        }
    }

    private void onChanges(WatchResponse changes, Throwable failure, long after) {
        if (mStopped) {
            return;
        }
        if (failure == null) {
            mFailures = 0;
            for (MetadataStore.Change change : changes.changes()) {
                if (change.keyValue() == null) {
                    mListener.onRemoved(change.key());
                } else {
                    mListener.onItem(change.keyValue());
                }
            }
            mListener.onCurrent(Math.max(after, changes.revision()));
            watch(Math.max(after, changes.revision()));
            return;
        }
        if (StoreException.kindOf(failure) == StoreException.Kind.COMPACTED) {
            LOG.info("History of {} behind revision {} is gone, listing again", mPrefix, after);
            start();
            return;
        }
        mListener.onFailure();
        mStrand.schedule(RETRY_MS << mFailures, () -> watch(after));
        mFailures = Math.min(mFailures + 1, MAX_DOUBLINGS);
    }
}
