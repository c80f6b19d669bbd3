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
import org.lycheeroad.protocol.store.TxnAnswer;

/**
 * Commits independent writes in groups and settles the ones whose answer was lost.
 *
 * <p>A lost answer is settled by sending the same group again: either it succeeds, or its read of
 * the keys shows which values are stored. Reading alone could miss a write that is still on its
 * way. Instances are safe for use by many threads.
 */
public final class StoreBatcher {
    /** The greatest number of writes in one transaction. */
    public static final int MAX_BATCH_SIZE = 64;

    private static final long RETRY_FIRST_DELAY_MS = 40;
    private static final long RETRY_MAX_DELAY_MS = 400;

    private final StoreClient mStore;
    private final Mechanism mMechanism;
    private final EventLoopGroup mGroup;
    private final ExponentialBackoff mBackoff;
    private final Deque<QueuedPut> mQueue = new ArrayDeque<>();
    private boolean mBatchInFlight;

    /** Creates a batcher whose calls count as the mechanism. */
    public StoreBatcher(
            StoreClient store, Mechanism mechanism, EventLoopGroup group, Random random) {
        mStore = store;
        mMechanism = mechanism;
        mGroup = group;
        mBackoff = new ExponentialBackoff(RETRY_FIRST_DELAY_MS, RETRY_MAX_DELAY_MS, random);
    }

    /**
     * Writes a key.
     *
     * @param timeoutMillis the time after which the write is given up, in milliseconds
     */
    public CompletableFuture<PutResult> put(ConditionalPut put, long timeoutMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        QueuedPut item = new QueuedPut(put, deadline);
        synchronized (this) {
            mQueue.add(item);
        }
        // The store may answer late or never, so the caller's time ends without it.
        mGroup.schedule(() -> item.expire(), timeoutMillis, TimeUnit.MILLISECONDS);
        sendNextBatch();
        return item.mResult;
    }

    private void sendNextBatch() {
        List<QueuedPut> batch = new ArrayList<>();
        synchronized (this) {
            if (mBatchInFlight) {
                return;
            }
            // A transaction may write each key only once.
            Set<String> keys = new HashSet<>();
            mQueue.removeIf(i -> i.mResult.isDone());
            for (QueuedPut item : mQueue) {
                if (batch.size() == MAX_BATCH_SIZE) {
                    break;
                }
                boolean alone = item.mSendAlone && !batch.isEmpty();
                if (!alone && keys.add(item.mPut.key())) {
                    batch.add(item);
                    if (item.mSendAlone) {
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
                .whenComplete((answer, failure) -> onResponse(batch, answer, failure));
    }

    private void onResponse(List<QueuedPut> batch, TxnAnswer answer, Throwable failure) {
        long wait = 0;
        List<QueuedPut> again = List.of();
        batch.forEach(i -> i.mInFlight = false);
        if (failure != null) {
            again = onFailure(batch, StoreException.kindOf(failure));
            synchronized (this) {
                wait = mBackoff.nextDelayMs();
            }
        } else {
            synchronized (this) {
                mBackoff.reset();
            }
            if (answer.succeeded()) {
                batch.forEach(i -> i.complete(PutResult.Status.WRITTEN, answer.revision(), null));
            } else {
                again = onConditionFailed(batch, answer);
            }
        }
        synchronized (this) {
            for (int i = again.size() - 1; i >= 0; i--) {
                mQueue.addFirst(again.get(i));
            }
        }
        if (wait == 0) {
            onBatchFinished();
        } else {
            mGroup.schedule(this::onBatchFinished, wait, TimeUnit.MILLISECONDS);
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
            // One write may be at fault, such as by an expired lease.
            batch.forEach(i -> i.mSendAlone = true);
            return batch;
        }
        if (kind == StoreException.Kind.UNSETTLED) {
            batch.forEach(i -> i.mMaybeWritten = true);
        }
        return batch;
    }

    /** Ends the writes that the answer settles and returns the others. */
    private static List<QueuedPut> onConditionFailed(List<QueuedPut> batch, TxnAnswer answer) {
        List<QueuedPut> again = new ArrayList<>();
        for (int i = 0; i < batch.size(); i++) {
            QueuedPut item = batch.get(i);
            KeyValue read = answer.read(i);
            if (read != null && read.value().equals(item.mPut.value())) {
                item.complete(PutResult.Status.WRITTEN, read.modRevision(), null);
            } else if (item.mPut.condition().holds(read)) {
                again.add(item);
            } else {
                item.complete(PutResult.Status.REFUSED, 0, read);
            }
        }
        return again;
    }

    private static StoreTxn toTxn(List<QueuedPut> batch) {
        List<StoreCompare> compares = new ArrayList<>();
        List<StoreOp> puts = new ArrayList<>();
        List<StoreOp> gets = new ArrayList<>();
        for (QueuedPut item : batch) {
            ConditionalPut put = item.mPut;
            compares.add(put.condition());
            puts.add(new StoreOp.Put(put.key(), put.value(), put.leaseId()));
            gets.add(StoreOp.get(put.key()));
            item.mInFlight = true;
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

        void complete(PutResult.Status status, long revision, KeyValue stored) {
            mResult.complete(new PutResult(status, revision, stored));
        }

        void expire() {
            if (System.nanoTime() - mDeadlineNanos >= 0) {
                boolean maybe = mInFlight || mMaybeWritten;
                complete(
                        maybe ? PutResult.Status.UNSETTLED : PutResult.Status.UNAVAILABLE, 0, null);
            }
        }
    }
}
