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
 * without waiting for a time-out. Once it is available again, the open watches are repeated, since
 * those that were sent during an outage may never be answered.
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

    /** The number of outages that have ended. */
    private volatile int mOutages;

    private volatile long mFailingSinceMs;
    private final OpenWatches mOpenWatches = new OpenWatches();
    private boolean mProbeInFlight;
    private boolean mProbeScheduled;
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
        return mOpenWatches.send(() -> watchOnce(prefix, afterRevision, waitMs, slackMs));
    }

    /**
     * Sends one copy of a watch. The store may drop a waiting watch at any time, so a failed watch
     * does not count as a failure but triggers a probe.
     */
    private CompletableFuture<WatchResponse> watchOnce(
            String prefix, long afterRevision, long waitMs, long slackMs) {
        return mDelegate
                .watch(prefix, afterRevision, waitMs, slackMs)
                .whenComplete(
                        (response, failure) -> {
                            if (isAnswered(failure)) {
                                recordOutcome(null, mOutages);
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
        int outagesBefore = mOutages;
        return call.whenComplete((value, failure) -> recordOutcome(failure, outagesBefore));
    }

    private synchronized void recordOutcome(Throwable failure, int outagesBefore) {
        if (isAnswered(failure)) {
            mConsecutiveFailures = 0;
            if (mUnavailable) {
                mUnavailable = false;
                mOutages++;
                mEvents.record(
                        EventCode.STORE_ANSWERS,
                        "",
                        "away_ms=" + (mClock.monotonicMs() - mFailingSinceMs));
                mExecutor.execute(mOpenWatches::repeatAll);
            }
            return;
        }
        if (outagesBefore != mOutages) {
            // The call was sent during an outage that has ended.
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
            mExecutor.execute(this::probeWhileUnavailable);
        }
    }

    /** Checks after a failed watch whether the store still responds. */
    private void probe() {
        if (!mProbeInFlight && !mUnavailable) {
            mProbeInFlight = true;
            mExecutor.whenComplete(
                    read(StoreKeys.EPOCH),
                    (keyValue, e) -> {
                        mProbeInFlight = false;
                        if (!isAnswered(e)) {
                            probe();
                        }
                    });
        }
    }

    /**
     * Sends probes at regular intervals until the store responds. They do not wait for the
     * responses to earlier ones, since a silent store lets each of them time out.
     */
    private void probeWhileUnavailable() {
        if (!mUnavailable || mProbeScheduled) {
            return;
        }
        mUnavailableAction.accept(mClock.monotonicMs() - mFailingSinceMs);
        read(StoreKeys.EPOCH);
        mProbeScheduled = true;
        mExecutor.schedule(
                PROBE_INTERVAL_MS,
                () -> {
                    mProbeScheduled = false;
                    probeWhileUnavailable();
                });
    }

    private static boolean isAnswered(Throwable failure) {
        return failure == null || StoreException.isFromStore(failure);
    }
}
