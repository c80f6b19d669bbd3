package org.lycheeroad.scheduler;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.event.EventCode;

/**
 * Passes calls on to the store and notes whether it serves this VM.
 *
 * <p>While it does not, it is asked at short intervals, and callers can be refused at once.
 */
public final class HealthTrackingStore implements MetadataStore {
    /** One lost answer is no sign of an outage; the second without a success between them is. */
    private static final int FAILURE_THRESHOLD = 2;

    private static final long PROBE_INTERVAL_MS = 300;

    private final MetadataStore mDelegate;
    private final SerialExecutor mExecutor;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private int mConsecutiveFailures;
    private long mFailingSinceMs;
    private boolean mProbeInFlight;
    private volatile boolean mUnavailable;

    /** Calls to the strand may come before it is started. */
    public HealthTrackingStore(
            MetadataStore store, SerialExecutor strand, Clock clock, EventRecorder events) {
        mDelegate = store;
        mExecutor = strand;
        mClock = clock;
        mEvents = events;
    }

    /** Returns whether the store does not serve this VM at present. */
    public boolean isUnavailable() {
        return mUnavailable;
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        return track(mDelegate.read(key));
    }

    @Override
    public CompletableFuture<Page> list(String prefix, String after) {
        return track(mDelegate.list(prefix, after));
    }

    @Override
    public CompletableFuture<WatchResponse> watch(
            String prefix, long after, long waitMs, long slackMs) {
        // The store may cut a waiting watch at any time, so a failed one only asks for a probe.
        return mDelegate
                .watch(prefix, after, waitMs, slackMs)
                .whenComplete(
                        (changes, failure) -> {
                            if (failure == null
                                    || isStoreResponse(StoreException.kindOf(failure))) {
                                recordOutcome(null);
                            } else {
                                mExecutor.execute(this::probe);
                            }
                        });
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction commit) {
        return track(mDelegate.commit(commit));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return track(mDelegate.grantLease(ttlMs));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return track(mDelegate.renewLease(lease));
    }

    @Override
    public CompletableFuture<Boolean> revokeLease(long lease) {
        return track(mDelegate.revokeLease(lease));
    }

    private <T> CompletableFuture<T> track(CompletableFuture<T> call) {
        return call.whenComplete((value, failure) -> recordOutcome(failure));
    }

    private synchronized void recordOutcome(Throwable failure) {
        if (failure == null || isStoreResponse(StoreException.kindOf(failure))) {
            mConsecutiveFailures = 0;
            if (mUnavailable) {
                mUnavailable = false;
                mEvents.record(
                        EventCode.STORE_ANSWERS,
                        "",
                        "away_ms=" + (mClock.monotonicMs() - mFailingSinceMs));
            }
            return;
        }
        mConsecutiveFailures++;
        if (mConsecutiveFailures == 1) {
            mFailingSinceMs = mClock.monotonicMs();
        }
        if (mConsecutiveFailures >= FAILURE_THRESHOLD && !mUnavailable) {
            mUnavailable = true;
            mEvents.record(
                    EventCode.STORE_SILENT,
                    "",
                    "failures=" + mConsecutiveFailures + " last=\"" + failure.getMessage() + '"');
            mExecutor.execute(this::probe);
        }
    }

    /** Asks the store until it answers. */
    private void probe() {
        if (!mProbeInFlight) {
            mProbeInFlight = true;
            mExecutor.whenComplete(
                    read(StoreKeys.EPOCH),
                    (item, e) -> {
                        mProbeInFlight = false;
                        if (e != null) {
                            mExecutor.schedule(mUnavailable ? PROBE_INTERVAL_MS : 0, this::probe);
                        }
                    });
        }
    }

    /** A store that says that history or a lease is gone has answered. */
    private static boolean isStoreResponse(StoreException.Kind kind) {
        return kind == StoreException.Kind.COMPACTED || kind == StoreException.Kind.LEASE_ENDED;
    }
}
