package org.lycheeroad.scheduler;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.log.Events;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.event.EventCode;

/**
 * Passes calls on to the store and notes whether it serves this VM.
 *
 * <p>While it does not, it is asked at short intervals, and callers can be refused at once.
 */
public final class StoreHealth implements MetadataStore {
    /** One lost answer is no sign of an outage; the second without a success between them is. */
    private static final int FAILURES = 2;

    private static final long PROBE_MS = 300;

    private final MetadataStore mStore;
    private final Strand mStrand;
    private final Clock mClock;
    private final Events mEvents;
    private int mFailures;
    private long mFailingSince;
    private boolean mProbing;
    private volatile boolean mAway;

    /** Calls to the strand may come before it is started. */
    public StoreHealth(MetadataStore store, Strand strand, Clock clock, Events events) {
        mStore = store;
        mStrand = strand;
        mClock = clock;
        mEvents = events;
    }

    /** Returns whether the store does not serve this VM at present. */
    public boolean isAway() {
        return mAway;
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        return observe(mStore.read(key));
    }

    @Override
    public CompletableFuture<Page> list(String prefix, String after) {
        return observe(mStore.list(prefix, after));
    }

    @Override
    public CompletableFuture<WatchResponse> watch(
            String prefix, long after, long waitMs, long slackMs) {
        // The store may cut a waiting watch at any time, so a failed one only asks for a probe.
        return mStore.watch(prefix, after, waitMs, slackMs)
                .whenComplete(
                        (changes, failure) -> {
                            if (failure == null || isAnswer(StoreException.kindOf(failure))) {
                                note(null);
                            } else {
                                mStrand.execute(this::probe);
                            }
                        });
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction commit) {
        return observe(mStore.commit(commit));
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return observe(mStore.grantLease(ttlMs));
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return observe(mStore.renewLease(lease));
    }

    @Override
    public CompletableFuture<Boolean> revokeLease(long lease) {
        return observe(mStore.revokeLease(lease));
    }

    private <T> CompletableFuture<T> observe(CompletableFuture<T> call) {
        return call.whenComplete((value, failure) -> note(failure));
    }

    private synchronized void note(Throwable failure) {
        if (failure == null || isAnswer(StoreException.kindOf(failure))) {
            mFailures = 0;
            if (mAway) {
                mAway = false;
                mEvents.record(
                        EventCode.STORE_ANSWERS,
                        "",
                        "away_ms=" + (mClock.monotonicMs() - mFailingSince));
            }
            return;
        }
        mFailures++;
        if (mFailures == 1) {
            mFailingSince = mClock.monotonicMs();
        }
        if (mFailures >= FAILURES && !mAway) {
            mAway = true;
            mEvents.record(
                    EventCode.STORE_SILENT,
                    "",
                    "failures=" + mFailures + " last=\"" + failure.getMessage() + '"');
            mStrand.execute(this::probe);
        }
    }

    /** Asks the store until it answers. */
    private void probe() {
        if (!mProbing) {
            mProbing = true;
            mStrand.whenDone(
                    read(StoreKeys.EPOCH),
                    (item, e) -> {
                        mProbing = false;
                        if (e != null) {
                            mStrand.schedule(mAway ? PROBE_MS : 0, this::probe);
                        }
                    });
        }
    }

    /** A store that says that history or a lease is gone has answered. */
    private static boolean isAnswer(StoreException.Kind kind) {
        return kind == StoreException.Kind.COMPACTED || kind == StoreException.Kind.LEASE_ENDED;
    }
}
