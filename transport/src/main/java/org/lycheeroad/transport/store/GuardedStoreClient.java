package org.lycheeroad.transport.store;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;

/**
 * Keeps one entry's calls within its share of the store's rates and counts them.
 *
 * <p>Calls wait in the order of their arrival, those of roles and members first. While the store
 * does not answer, calls are refused at once except for one trial at a time. Instances are safe for
 * use by many threads.
 */
public final class GuardedStoreClient implements StoreClient {
    /** Half a second of the rate may go out at once. */
    private static final double BURST_SECONDS = 0.5;

    /** Tokens that only roles and members may take. */
    private static final double RESERVE = 4;

    private static final long DRAIN_MILLIS = 10;
    private static final long BREAKER_FIRST_MILLIS = 400;
    private static final long BREAKER_MAX_MILLIS = 1_000;

    private final StoreClient mStore;
    private final EventLoopGroup mGroup;
    private final StoreLimits mLimits;
    private final TokenBucket mWrites;
    private final TokenBucket mReads;
    private final CircuitBreaker mBreaker;
    private final Deque<Waiting<?>> mUrgent = new ArrayDeque<>();
    private final Deque<Waiting<?>> mOrdinary = new ArrayDeque<>();
    private final Map<Mechanism, Long> mCounts = new EnumMap<>(Mechanism.class);
    private int mInFlight;
    private boolean mDrainScheduled;

    /** Creates a guard around a client; the random source jitters the breaker's retries. */
    public GuardedStoreClient(
            StoreClient store, EventLoopGroup group, StoreLimits limits, Random random) {
        long now = System.nanoTime();
        mStore = store;
        mGroup = group;
        mLimits = limits;
        mWrites =
                new TokenBucket(
                        limits.writesPerSecond(),
                        Math.max(2 * RESERVE, limits.writesPerSecond() * BURST_SECONDS),
                        now);
        mReads =
                new TokenBucket(
                        limits.readsPerSecond(),
                        Math.max(2 * RESERVE, limits.readsPerSecond() * BURST_SECONDS),
                        now);
        mBreaker =
                new CircuitBreaker(new BackOff(BREAKER_FIRST_MILLIS, BREAKER_MAX_MILLIS, random));
    }

    @Override
    public CompletableFuture<RangeResponse> range(
            Mechanism mechanism, String key, String rangeEnd) {
        return submit(mechanism, mReads, () -> mStore.range(mechanism, key, rangeEnd));
    }

    @Override
    public CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn) {
        return submit(mechanism, mWrites, () -> mStore.txn(mechanism, txn));
    }

    @Override
    public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
        return submit(mechanism, mWrites, () -> mStore.grantLease(mechanism, ttlSeconds));
    }

    @Override
    public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
        return submit(mechanism, mWrites, () -> mStore.keepAlive(mechanism, lease));
    }

    @Override
    public CompletableFuture<Void> revoke(Mechanism mechanism, long lease) {
        return submit(mechanism, mWrites, () -> mStore.revoke(mechanism, lease));
    }

    /** Starts a watch; the caller spaces its attempts, since a waiting watch is a call too. */
    @Override
    public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
        synchronized (this) {
            count(Mechanism.WATCH);
        }
        return mStore.watch(prefix, startRevision, listener);
    }

    @Override
    public synchronized boolean isOpen() {
        return mBreaker.isOpen();
    }

    /** Returns the number of calls sent so far by mechanism; a watch counts as one. */
    public synchronized Map<Mechanism, Long> counts() {
        return new EnumMap<>(mCounts);
    }

    private <T> CompletableFuture<T> submit(
            Mechanism mechanism, TokenBucket bucket, Supplier<CompletableFuture<T>> call) {
        Waiting<T> waiting = new Waiting<>(mechanism, bucket, call, System.nanoTime());
        synchronized (this) {
            Deque<Waiting<?>> queue = waiting.isUrgent() ? mUrgent : mOrdinary;
            if (mBreaker.isOpen() && !waiting.isUrgent()) {
                waiting.refuse("the store does not answer");
                return waiting.mResult;
            }
            if (queue.size() >= mLimits.maxWaiting()) {
                waiting.refuse("too many store calls wait");
                return waiting.mResult;
            }
            queue.add(waiting);
        }
        drain();
        return waiting.mResult;
    }

    private void drain() {
        List<Waiting<?>> sent = new ArrayList<>();
        List<Waiting<?>> refused = new ArrayList<>();
        synchronized (this) {
            long now = System.nanoTime();
            drain(mUrgent, 0, now, sent, refused);
            drain(mOrdinary, RESERVE, now, sent, refused);
            if (!mDrainScheduled && !(mUrgent.isEmpty() && mOrdinary.isEmpty())) {
                mDrainScheduled = true;
                mGroup.schedule(this::drainLater, DRAIN_MILLIS, TimeUnit.MILLISECONDS);
            }
        }
        refused.forEach(w -> w.refuse("the store does not answer in time"));
        sent.forEach(this::send);
    }

    private void drainLater() {
        synchronized (this) {
            mDrainScheduled = false;
        }
        drain();
    }

    private void drain(
            Deque<Waiting<?>> queue,
            double reserve,
            long now,
            List<Waiting<?>> sent,
            List<Waiting<?>> refused) {
        long maxWait = TimeUnit.MILLISECONDS.toNanos(mLimits.maxWaitMillis());
        while (!queue.isEmpty()) {
            Waiting<?> next = queue.peek();
            boolean late = now - next.mSince > maxWait;
            if (late || (mBreaker.isOpen() && !next.isUrgent())) {
                refused.add(queue.poll());
                continue;
            }
            // Roles may exceed the number in flight, or slow claims would delay their renewal.
            int cap = next.isUrgent() ? 2 * mLimits.maxInFlight() : mLimits.maxInFlight();
            if (mInFlight >= cap || !next.mBucket.tryTake(reserve, now)) {
                return;
            }
            if (!mBreaker.tryPass(now)) {
                refused.add(queue.poll());
                continue;
            }
            mInFlight++;
            count(next.mMechanism);
            sent.add(queue.poll());
        }
    }

    private <T> void send(Waiting<T> waiting) {
        waiting.mCall
                .get()
                .whenComplete(
                        (value, failure) -> {
                            synchronized (this) {
                                mInFlight--;
                                note(failure);
                            }
                            if (failure == null) {
                                waiting.mResult.complete(value);
                            } else {
                                waiting.mResult.completeExceptionally(failure);
                            }
                            drain();
                        });
    }

    private void note(Throwable failure) {
        boolean answered =
                failure == null || StoreException.kindOf(failure) == StoreException.Kind.REJECTED;
        if (answered) {
            mBreaker.onSuccess();
        } else {
            mBreaker.onFailure(System.nanoTime());
        }
    }

    private void count(Mechanism mechanism) {
        mCounts.merge(mechanism, 1L, Long::sum);
    }

    private static final class Waiting<T> {
        private final Mechanism mMechanism;
        private final TokenBucket mBucket;
        private final Supplier<CompletableFuture<T>> mCall;
        private final long mSince;
        private final CompletableFuture<T> mResult = new CompletableFuture<>();

        Waiting(
                Mechanism mechanism,
                TokenBucket bucket,
                Supplier<CompletableFuture<T>> call,
                long sinceNanos) {
            mMechanism = mechanism;
            mBucket = bucket;
            mCall = call;
            mSince = sinceNanos;
        }

        boolean isUrgent() {
            return mMechanism == Mechanism.ROLES || mMechanism == Mechanism.MEMBERS;
        }

        void refuse(String reason) {
            mResult.completeExceptionally(
                    new StoreException(StoreException.Kind.UNAVAILABLE, reason, null));
        }
    }
}
