package org.lycheeroad.transport.store;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;

/**
 * Commits independent conditional writes in batches and retries those whose outcome is unknown.
 *
 * <p>After a lost response, the writes are sent again: either the transaction succeeds, or its read
 * of the keys shows which values are stored. A read alone would not be enough, since it could miss
 * a write that is still in transit. Instances are thread-safe.
 */
public final class StoreBatcher {
    /** The maximum number of writes in one transaction. */
    public static final int MAX_BATCH_SIZE = 64;

    private static final long RETRY_FIRST_DELAY_MS = 40;
    private static final long RETRY_MAX_DELAY_MS = 400;

    private final StoreClient mStore;
    private final Mechanism mMechanism;
    private final EventLoopGroup mGroup;
    private final ExponentialBackoff mBackoff;
    private final Deque<QueuedPut> mQueue = new ArrayDeque<>();
    private boolean mBatchInFlight;

    /** Creates a batcher whose store calls are counted under the mechanism. */
    public StoreBatcher(
            StoreClient store, Mechanism mechanism, EventLoopGroup group, Random random) {
        mStore = store;
        mMechanism = mechanism;
        mGroup = group;
        mBackoff = new ExponentialBackoff(RETRY_FIRST_DELAY_MS, RETRY_MAX_DELAY_MS, random);
    }

    /**
     * Queues a write.
     *
     * @param timeoutMs the time after which the future completes with {@code UNSETTLED} or {@code
     *     UNAVAILABLE} if the outcome is not known by then
     */
    public CompletableFuture<PutResult> put(ConditionalPut put, long timeoutMs) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        QueuedPut queued = new QueuedPut(put, deadlineNanos);
        synchronized (this) {
            mQueue.add(queued);
        }
        // A separate timer, since the store may respond late or never.
        mGroup.schedule(() -> queued.expire(), timeoutMs, TimeUnit.MILLISECONDS);
        sendNextBatch();
        return queued.mResult;
    }

    private void sendNextBatch() {
        List<QueuedPut> batch = new ArrayList<>();
        synchronized (this) {
            if (mBatchInFlight) {
                return;
            }
            // The store allows only one write per key in a transaction.
            Set<String> keys = new HashSet<>();
            mQueue.removeIf(put -> put.mResult.isDone());
            for (QueuedPut queued : mQueue) {
                if (batch.size() == MAX_BATCH_SIZE) {
                    break;
                }
                boolean skip = queued.mSendAlone && !batch.isEmpty();
                if (!skip && keys.add(queued.mPut.key())) {
                    batch.add(queued);
                    if (queued.mSendAlone) {
                        break;
                    }
                }
            }
            if (batch.isEmpty()) {
                return;
            }
            mQueue.removeAll(batch);
            mBatchInFlight = true;
        }
        mStore.txn(mMechanism, toTxn(batch))
                .whenComplete((response, failure) -> onResponse(batch, response, failure));
    }

    private void onResponse(List<QueuedPut> batch, TxnResponse response, Throwable failure) {
        long delayMs = 0;
        List<QueuedPut> retries = List.of();
        batch.forEach(put -> put.mInFlight = false);
        if (failure != null) {
            retries = onFailure(batch, StoreException.kindOf(failure));
            synchronized (this) {
                delayMs = mBackoff.nextDelayMs();
            }
        } else {
            synchronized (this) {
                mBackoff.reset();
            }
            if (response.succeeded()) {
                batch.forEach(
                        put -> put.complete(PutResult.Status.WRITTEN, response.revision(), null));
            } else {
                retries = onConditionFailed(batch, response);
            }
        }
        synchronized (this) {
            for (int i = retries.size() - 1; i >= 0; i--) {
                mQueue.addFirst(retries.get(i));
            }
        }
        if (delayMs == 0) {
            onBatchFinished();
        } else {
            mGroup.schedule(this::onBatchFinished, delayMs, TimeUnit.MILLISECONDS);
        }
    }

    private void onBatchFinished() {
        synchronized (this) {
            mBatchInFlight = false;
        }
        sendNextBatch();
    }

    private static List<QueuedPut> onFailure(List<QueuedPut> batch, StoreException.Kind kind) {
        if (kind == StoreException.Kind.REJECTED) {
            if (batch.size() == 1) {
                batch.get(0).complete(PutResult.Status.UNAVAILABLE, 0, null);
                return List.of();
            }
            // A single write, such as one with an expired lease, may have caused the rejection.
            batch.forEach(put -> put.mSendAlone = true);
            return batch;
        }
        if (kind == StoreException.Kind.UNSETTLED) {
            batch.forEach(put -> put.mMaybeWritten = true);
        }
        return batch;
    }

    /** Completes the writes whose outcome the response shows and returns the others. */
    private static List<QueuedPut> onConditionFailed(List<QueuedPut> batch, TxnResponse response) {
        List<QueuedPut> retries = new ArrayList<>();
        for (int i = 0; i < batch.size(); i++) {
            QueuedPut queued = batch.get(i);
            KeyValue read = response.firstKeyValue(i);
            if (read != null && read.value().equals(queued.mPut.value())) {
                queued.complete(PutResult.Status.WRITTEN, read.modRevision(), null);
            } else if (queued.mPut.condition().holds(read)) {
                retries.add(queued);
            } else {
                queued.complete(PutResult.Status.REFUSED, 0, read);
            }
        }
        return retries;
    }

    private static StoreTxn toTxn(List<QueuedPut> batch) {
        List<StoreCompare> compares = new ArrayList<>();
        List<StoreOp> puts = new ArrayList<>();
        List<StoreOp> gets = new ArrayList<>();
        for (QueuedPut queued : batch) {
            ConditionalPut put = queued.mPut;
            compares.add(put.condition());
            puts.add(new StoreOp.Put(put.key(), put.value(), put.leaseId()));
            gets.add(StoreOp.get(put.key()));
            queued.mInFlight = true;
        }
        return new StoreTxn(compares, puts, gets);
    }

    private static final class QueuedPut {
        private final ConditionalPut mPut;
        private final long mDeadlineNanos;
        private final CompletableFuture<PutResult> mResult = new CompletableFuture<>();
        private boolean mSendAlone;
        private volatile boolean mMaybeWritten;
        private volatile boolean mInFlight;

        QueuedPut(ConditionalPut put, long deadlineNanos) {
            mPut = put;
            mDeadlineNanos = deadlineNanos;
        }

        void complete(PutResult.Status status, long revision, KeyValue existing) {
            mResult.complete(new PutResult(status, revision, existing));
        }

        void expire() {
            if (System.nanoTime() - mDeadlineNanos >= 0) {
                boolean unsettled = mInFlight || mMaybeWritten;
                complete(
                        unsettled ? PutResult.Status.UNSETTLED : PutResult.Status.UNAVAILABLE,
                        0,
                        null);
            }
        }
    }
}
