package org.lycheeroad.scheduler;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongConsumer;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.event.EventCode;

/**
 * Delegates to the store and tracks whether the store is available from this VM.
 *
 * <p>While it is unavailable, it is probed at short intervals, and API calls can be rejected
 * without waiting for a time-out.
 */
public final class HealthTrackingStore implements MetadataStore {
    /** One lost response does not indicate an outage; two in a row do. */
    private static final int FAILURE_THRESHOLD = 2;

    private static final long PROBE_INTERVAL_MS = 300;

    private final MetadataStore mDelegate;
    private final SerialExecutor mExecutor;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private int mConsecutiveFailures;
    private volatile long mFailingSinceMs;
    private boolean mProbeInFlight;
    private volatile boolean mUnavailable;
    private volatile LongConsumer mUnavailableAction = failingForMs -> {};

    /**
     * Creates a store.
     *
     * @param executor runs the probes; it need not be started yet, as it queues tasks until then
     */
    public HealthTrackingStore(
            MetadataStore delegate, SerialExecutor executor, Clock clock, EventRecorder events) {
        mDelegate = delegate;
        mExecutor = executor;
        mClock = clock;
        mEvents = events;
    }

    /**
     * Sets the action to run with each probe while the store is unavailable; it receives for how
     * many milliseconds the store has been so.
     */
    public void setUnavailableAction(LongConsumer action) {
        mUnavailableAction = action;
    }

    /** Returns whether the store is currently unavailable from this VM. */
    public boolean isUnavailable() {
        return mUnavailable;
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        return track(mDelegate.read(key));
    }

    @Override
    public CompletableFuture<Page> list(String prefix, String afterKey) {
        return track(mDelegate.list(prefix, afterKey));
    }

    @Override
    public CompletableFuture<WatchResponse> watch(
            String prefix, long afterRevision, long waitMs, long slackMs) {
        // The store may drop a waiting watch at any time, so a failed watch does not count as a
        // failure but triggers a probe.
        return mDelegate
                .watch(prefix, afterRevision, waitMs, slackMs)
                .whenComplete(
                        (response, failure) -> {
                            if (failure == null
                                    || isStoreResponse(StoreException.kindOf(failure))) {
                                recordOutcome(null);
                            } else {
                                mExecutor.execute(this::probe);
                            }
                        });
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        return track(mDelegate.commit(transaction));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return track(mDelegate.grantLease(ttlMs));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long leaseId) {
        return track(mDelegate.renewLease(leaseId));
    }

    @Override
    public CompletableFuture<Boolean> revokeLease(long leaseId) {
        return track(mDelegate.revokeLease(leaseId));
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

    /** Reads a key from the store repeatedly until the store responds. */
    private void probe() {
        if (!mProbeInFlight) {
            mProbeInFlight = true;
            if (mUnavailable) {
                mUnavailableAction.accept(mClock.monotonicMs() - mFailingSinceMs);
            }
            mExecutor.whenComplete(
                    read(StoreKeys.EPOCH),
                    (keyValue, e) -> {
                        mProbeInFlight = false;
                        if (e != null) {
                            mExecutor.schedule(mUnavailable ? PROBE_INTERVAL_MS : 0, this::probe);
                        }
                    });
        }
    }

    /** Returns whether a failure was reported by the store itself, which is therefore available. */
    private static boolean isStoreResponse(StoreException.Kind kind) {
        return kind == StoreException.Kind.COMPACTED || kind == StoreException.Kind.LEASE_ENDED;
    }
}
