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
import org.lycheeroad.protocol.store.RangeAnswer;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnAnswer;

/**
 * Keeps one entry's calls within its share of the store's rates and counts them.
 *
 * <p>Calls wait in the order of their arrival, those of roles and members first. While the store
 * does not answer, calls are refused at once except for one trial at a time. Instances are safe for
 * use by many threads.
 */
public final class RateLimitedStoreClient implements StoreClient {
    /** Half a second of the rate may go out at once. */
    private static final double BURST_SECONDS = 0.5;

    /** Tokens that only roles and members may take. */
    private static final double RESERVED_TOKENS = 4;

    private static final long DRAIN_INTERVAL_MS = 10;
    private static final long BREAKER_FIRST_DELAY_MS = 400;
    private static final long BREAKER_MAX_DELAY_MS = 1_000;

    private final StoreClient mDelegate;
    private final EventLoopGroup mGroup;
    private final StoreLimits mLimits;
    private final TokenBucket mWriteTokens;
    private final TokenBucket mReadTokens;
    private final CircuitBreaker mBreaker;
    private final Deque<QueuedCall<?>> mUrgentCalls = new ArrayDeque<>();
    private final Deque<QueuedCall<?>> mOrdinaryCalls = new ArrayDeque<>();
    private final Map<Mechanism, Long> mCallCounts = new EnumMap<>(Mechanism.class);
    private int mInFlight;
    private boolean mDrainScheduled;

    /** Creates a guard around a client; the random source jitters the breaker's retries. */
    public RateLimitedStoreClient(
            StoreClient store, EventLoopGroup group, StoreLimits limits, Random random) {
        long now = System.nanoTime();
        mDelegate = store;
        mGroup = group;
        mLimits = limits;
        mWriteTokens =
                new TokenBucket(
                        limits.writesPerSecond(),
                        Math.max(2 * RESERVED_TOKENS, limits.writesPerSecond() * BURST_SECONDS),
                        now);
        mReadTokens =
                new TokenBucket(
                        limits.readsPerSecond(),
                        Math.max(2 * RESERVED_TOKENS, limits.readsPerSecond() * BURST_SECONDS),
                        now);
        mBreaker =
                new CircuitBreaker(
                        new ExponentialBackoff(
                                BREAKER_FIRST_DELAY_MS, BREAKER_MAX_DELAY_MS, random));
    }

    @Override
    public CompletableFuture<RangeAnswer> range(Mechanism mechanism, String key, String rangeEnd) {
        return submit(mechanism, mReadTokens, () -> mDelegate.range(mechanism, key, rangeEnd));
    }

    @Override
    public CompletableFuture<TxnAnswer> txn(Mechanism mechanism, StoreTxn txn) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.txn(mechanism, txn));
    }

    @Override
    public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.grantLease(mechanism, ttlSeconds));
    }

    @Override
    public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.keepAlive(mechanism, lease));
    }

    @Override
    public CompletableFuture<Void> revokeLease(Mechanism mechanism, long lease) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.revokeLease(mechanism, lease));
    }

    /** Starts a watch; the caller spaces its attempts, since a waiting watch is a call too. */
    @Override
    public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
        synchronized (this) {
            count(Mechanism.WATCH);
        }
        return mDelegate.watch(prefix, startRevision, listener);
    }

    @Override
    public synchronized boolean isCircuitOpen() {
        return mBreaker.isOpen();
    }

    /** Returns the number of calls sent so far by mechanism; a watch counts as one. */
    public synchronized Map<Mechanism, Long> callCounts() {
        return new EnumMap<>(mCallCounts);
    }

    private <T> CompletableFuture<T> submit(
            Mechanism mechanism, TokenBucket bucket, Supplier<CompletableFuture<T>> call) {
        QueuedCall<T> waiting = new QueuedCall<>(mechanism, bucket, call, System.nanoTime());
        synchronized (this) {
            Deque<QueuedCall<?>> queue = waiting.isUrgent() ? mUrgentCalls : mOrdinaryCalls;
            if (mBreaker.isOpen() && !waiting.isUrgent()) {
                waiting.refuse("the store does not answer");
                return waiting.mResult;
            }
            if (queue.size() >= mLimits.maxQueued()) {
                waiting.refuse("too many store calls wait");
                return waiting.mResult;
            }
            queue.add(waiting);
        }
        drain();
        return waiting.mResult;
    }

    private void drain() {
        List<QueuedCall<?>> sent = new ArrayList<>();
        List<QueuedCall<?>> refused = new ArrayList<>();
        synchronized (this) {
            long now = System.nanoTime();
            drain(mUrgentCalls, 0, now, sent, refused);
            drain(mOrdinaryCalls, RESERVED_TOKENS, now, sent, refused);
            if (!mDrainScheduled && !(mUrgentCalls.isEmpty() && mOrdinaryCalls.isEmpty())) {
                mDrainScheduled = true;
                mGroup.schedule(this::drainOnTimer, DRAIN_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }
        refused.forEach(w -> w.refuse("the store does not answer in time"));
        sent.forEach(this::send);
    }

    private void drainOnTimer() {
        synchronized (this) {
            mDrainScheduled = false;
        }
        drain();
    }

    private void drain(
            Deque<QueuedCall<?>> queue,
            double reserve,
            long now,
            List<QueuedCall<?>> sent,
            List<QueuedCall<?>> refused) {
        long maxWait = TimeUnit.MILLISECONDS.toNanos(mLimits.maxQueueTimeMs());
        while (!queue.isEmpty()) {
            QueuedCall<?> next = queue.peek();
            boolean late = now - next.mQueuedAtNanos > maxWait;
            if (late || (mBreaker.isOpen() && !next.isUrgent())) {
                refused.add(queue.poll());
                continue;
            }
            // Roles may exceed the number in flight, or slow claims would delay their renewal.
            int cap = next.isUrgent() ? 2 * mLimits.maxInFlight() : mLimits.maxInFlight();
            if (mInFlight >= cap || !next.mBucket.tryAcquire(reserve, now)) {
                return;
            }
            if (!mBreaker.tryAcquire(now)) {
                refused.add(queue.poll());
                continue;
            }
            mInFlight++;
            count(next.mMechanism);
            sent.add(queue.poll());
        }
    }

    private <T> void send(QueuedCall<T> waiting) {
        waiting.mCall
                .get()
                .whenComplete(
                        (value, failure) -> {
                            synchronized (this) {
                                mInFlight--;
                                recordOutcome(failure);
                            }
                            if (failure == null) {
                                waiting.mResult.complete(value);
                            } else {
                                waiting.mResult.completeExceptionally(failure);
                            }
                            drain();
                        });
    }

    private void recordOutcome(Throwable failure) {
        boolean answered =
                failure == null || StoreException.kindOf(failure) == StoreException.Kind.REJECTED;
        if (answered) {
            mBreaker.onSuccess();
        } else {
            mBreaker.onFailure(System.nanoTime());
        }
    }

    private void count(Mechanism mechanism) {
        mCallCounts.merge(mechanism, 1L, Long::sum);
    }

    private static final class QueuedCall<T> {
        private final Mechanism mMechanism;
        private final TokenBucket mBucket;
        private final Supplier<CompletableFuture<T>> mCall;
        private final long mQueuedAtNanos;
        private final CompletableFuture<T> mResult = new CompletableFuture<>();

        QueuedCall(
                Mechanism mechanism,
                TokenBucket bucket,
                Supplier<CompletableFuture<T>> call,
                long sinceNanos) {
            mMechanism = mechanism;
            mBucket = bucket;
            mCall = call;
            mQueuedAtNanos = sinceNanos;
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
