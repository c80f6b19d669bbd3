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
 * Limits one entry's calls to its share of the store's rates and counts them.
 *
 * <p>Calls are queued in the order of arrival; calls for roles and members, the urgent ones, take
 * precedence. While the circuit breaker is open, other calls are refused at once, and urgent calls
 * serve as trial calls, one at a time. Instances are thread-safe.
 */
public final class RateLimitedStoreClient implements StoreClient {
    /** The burst size: the number of calls allowed in half a second. */
    private static final double BURST_SECONDS = 0.5;

    /** Tokens that only calls for roles and members may take. */
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

    /** Wraps a client; {@code random} is the source of the jitter of the breaker's backoff. */
    public RateLimitedStoreClient(
            StoreClient store, EventLoopGroup group, StoreLimits limits, Random random) {
        long nowNanos = System.nanoTime();
        mDelegate = store;
        mGroup = group;
        mLimits = limits;
        mWriteTokens =
                new TokenBucket(
                        limits.writesPerSecond(),
                        Math.max(2 * RESERVED_TOKENS, limits.writesPerSecond() * BURST_SECONDS),
                        nowNanos);
        mReadTokens =
                new TokenBucket(
                        limits.readsPerSecond(),
                        Math.max(2 * RESERVED_TOKENS, limits.readsPerSecond() * BURST_SECONDS),
                        nowNanos);
        mBreaker =
                new CircuitBreaker(
                        new ExponentialBackoff(
                                BREAKER_FIRST_DELAY_MS, BREAKER_MAX_DELAY_MS, random));
    }

    @Override
    public CompletableFuture<RangeResponse> range(
            Mechanism mechanism, String key, String rangeEnd) {
        return submit(mechanism, mReadTokens, () -> mDelegate.range(mechanism, key, rangeEnd));
    }

    @Override
    public CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.txn(mechanism, txn));
    }

    @Override
    public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.grantLease(mechanism, ttlSeconds));
    }

    @Override
    public CompletableFuture<Long> keepAlive(Mechanism mechanism, long leaseId) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.keepAlive(mechanism, leaseId));
    }

    @Override
    public CompletableFuture<Void> revokeLease(Mechanism mechanism, long leaseId) {
        return submit(mechanism, mWriteTokens, () -> mDelegate.revokeLease(mechanism, leaseId));
    }

    /**
     * Starts a watch at once, outside the queue and the rate limits; the caller has to space its
     * attempts.
     */
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

    /** Returns the number of calls sent so far by mechanism; a watch counts as one call. */
    public synchronized Map<Mechanism, Long> callCounts() {
        return new EnumMap<>(mCallCounts);
    }

    private <T> CompletableFuture<T> submit(
            Mechanism mechanism, TokenBucket bucket, Supplier<CompletableFuture<T>> call) {
        QueuedCall<T> queued = new QueuedCall<>(mechanism, bucket, call, System.nanoTime());
        synchronized (this) {
            Deque<QueuedCall<?>> queue = queued.isUrgent() ? mUrgentCalls : mOrdinaryCalls;
            if (mBreaker.isOpen() && !queued.isUrgent()) {
                queued.refuse("the store does not respond; the circuit breaker is open");
                return queued.mResult;
            }
            if (queue.size() >= mLimits.maxQueued()) {
                queued.refuse("the queue of store calls is full");
                return queued.mResult;
            }
            queue.add(queued);
        }
        drain();
        return queued.mResult;
    }

    private void drain() {
        List<QueuedCall<?>> sent = new ArrayList<>();
        List<QueuedCall<?>> refused = new ArrayList<>();
        synchronized (this) {
            long nowNanos = System.nanoTime();
            drain(mUrgentCalls, 0, nowNanos, sent, refused);
            drain(mOrdinaryCalls, RESERVED_TOKENS, nowNanos, sent, refused);
            if (!mDrainScheduled && !(mUrgentCalls.isEmpty() && mOrdinaryCalls.isEmpty())) {
                mDrainScheduled = true;
                mGroup.schedule(this::drainOnTimer, DRAIN_INTERVAL_MS, TimeUnit.MILLISECONDS);
            }
        }
        refused.forEach(call -> call.refuse("queued for too long, or the circuit breaker is open"));
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
            double reservedTokens,
            long nowNanos,
            List<QueuedCall<?>> sent,
            List<QueuedCall<?>> refused) {
        long maxQueueNanos = TimeUnit.MILLISECONDS.toNanos(mLimits.maxQueueTimeMs());
        while (!queue.isEmpty()) {
            QueuedCall<?> next = queue.peek();
            boolean expired = nowNanos - next.mQueuedAtNanos > maxQueueNanos;
            if (expired || (mBreaker.isOpen() && !next.isUrgent())) {
                refused.add(queue.poll());
                continue;
            }
            // Urgent calls may exceed the limit; otherwise, slow claims would delay the renewal of
            // roles.
            int maxInFlight = next.isUrgent() ? 2 * mLimits.maxInFlight() : mLimits.maxInFlight();
            if (mInFlight >= maxInFlight || !next.mBucket.tryAcquire(reservedTokens, nowNanos)) {
                return;
            }
            if (!mBreaker.tryAcquire(nowNanos)) {
                refused.add(queue.poll());
                continue;
            }
            mInFlight++;
            count(next.mMechanism);
            sent.add(queue.poll());
        }
    }

    private <T> void send(QueuedCall<T> queued) {
        queued.mCall
                .get()
                .whenComplete(
                        (value, failure) -> {
                            synchronized (this) {
                                mInFlight--;
                                recordOutcome(failure);
                            }
                            if (failure == null) {
                                queued.mResult.complete(value);
                            } else {
                                queued.mResult.completeExceptionally(failure);
                            }
                            drain();
                        });
    }

    private void recordOutcome(Throwable failure) {
        boolean responded =
                failure == null || StoreException.kindOf(failure) == StoreException.Kind.REJECTED;
        if (responded) {
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
                long queuedAtNanos) {
            mMechanism = mechanism;
            mBucket = bucket;
            mCall = call;
            mQueuedAtNanos = queuedAtNanos;
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
