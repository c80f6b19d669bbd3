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
 * Commits independent writes in groups and settles the ones whose answer was lost.
 *
 * <p>A lost answer is settled by sending the same group again: either it succeeds, or its read of
 * the keys shows which values are stored. Reading alone could miss a write that is still on its
 * way. Instances are safe for use by many threads.
 */
public final class StoreBatcher {
    /** The greatest number of writes in one transaction. */
    public static final int MAX_BATCH = 64;

    private static final long RETRY_FIRST_MILLIS = 40;
    private static final long RETRY_MAX_MILLIS = 400;

    private final StoreClient mStore;
    private final Mechanism mMechanism;
    private final EventLoopGroup mGroup;
    private final BackOff mBackOff;
    private final Deque<Item> mWaiting = new ArrayDeque<>();
    private boolean mBusy;

    /** Creates a batcher whose calls count as the mechanism. */
    public StoreBatcher(
            StoreClient store, Mechanism mechanism, EventLoopGroup group, Random random) {
        mStore = store;
        mMechanism = mechanism;
        mGroup = group;
        mBackOff = new BackOff(RETRY_FIRST_MILLIS, RETRY_MAX_MILLIS, random);
    }

    /**
     * Writes a key.
     *
     * @param timeoutMillis the time after which the write is given up, in milliseconds
     */
    public CompletableFuture<PutResult> put(ConditionalPut put, long timeoutMillis) {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Item item = new Item(put, deadline);
        synchronized (this) {
            mWaiting.add(item);
        }
        // The store may answer late or never, so the caller's time ends without it.
        mGroup.schedule(() -> item.expire(), timeoutMillis, TimeUnit.MILLISECONDS);
        pump();
        return item.mResult;
    }

    private void pump() {
        List<Item> batch = new ArrayList<>();
        synchronized (this) {
            if (mBusy) {
                return;
            }
            // A transaction may write each key only once.
            Set<String> keys = new HashSet<>();
            mWaiting.removeIf(i -> i.mResult.isDone());
            for (Item item : mWaiting) {
                if (batch.size() == MAX_BATCH) {
                    break;
                }
                boolean alone = item.mAlone && !batch.isEmpty();
                if (!alone && keys.add(item.mPut.key())) {
                    batch.add(item);
                    if (item.mAlone) {
                        break;
                    }
                }
            }
            if (batch.isEmpty()) {
                return;
            }
            mWaiting.removeAll(batch);
            mBusy = true;
        }
        mStore.txn(mMechanism, toTxn(batch))
                .whenComplete((answer, failure) -> onAnswer(batch, answer, failure));
    }

    private void onAnswer(List<Item> batch, TxnResponse answer, Throwable failure) {
        long wait = 0;
        List<Item> again = List.of();
        batch.forEach(i -> i.mInFlight = false);
        if (failure != null) {
            again = onFailure(batch, StoreException.kindOf(failure));
            synchronized (this) {
                wait = mBackOff.nextMillis();
            }
        } else {
            synchronized (this) {
                mBackOff.reset();
            }
            if (answer.succeeded()) {
                batch.forEach(i -> i.end(PutResult.Status.WRITTEN, answer.revision(), null));
            } else {
                again = onRefused(batch, answer);
            }
        }
        synchronized (this) {
            for (int i = again.size() - 1; i >= 0; i--) {
                mWaiting.addFirst(again.get(i));
            }
        }
        if (wait == 0) {
            release();
        } else {
            mGroup.schedule(this::release, wait, TimeUnit.MILLISECONDS);
        }
    }

    private void release() {
        synchronized (this) {
            mBusy = false;
        }
        pump();
    }

    private static List<Item> onFailure(List<Item> batch, StoreException.Kind kind) {
        if (kind == StoreException.Kind.REJECTED) {
            if (batch.size() == 1) {
                batch.get(0).end(PutResult.Status.UNAVAILABLE, 0, null);
                return List.of();
            }
            // One write may be at fault, such as by an expired lease.
            batch.forEach(i -> i.mAlone = true);
            return batch;
        }
        if (kind == StoreException.Kind.UNSETTLED) {
            batch.forEach(i -> i.mMaybeWritten = true);
        }
        return batch;
    }

    /** Ends the writes that the answer settles and returns the others. */
    private static List<Item> onRefused(List<Item> batch, TxnResponse answer) {
        List<Item> again = new ArrayList<>();
        for (int i = 0; i < batch.size(); i++) {
            Item item = batch.get(i);
            KeyValue read = answer.firstKeyValue(i);
            if (read != null && read.value().equals(item.mPut.value())) {
                item.end(PutResult.Status.WRITTEN, read.modRevision(), null);
            } else if (item.mPut.condition().holds(read)) {
                again.add(item);
            } else {
                item.end(PutResult.Status.REFUSED, 0, read);
            }
        }
        return again;
    }

    private static StoreTxn toTxn(List<Item> batch) {
        List<StoreCompare> compares = new ArrayList<>();
        List<StoreOp> puts = new ArrayList<>();
        List<StoreOp> gets = new ArrayList<>();
        for (Item item : batch) {
            ConditionalPut put = item.mPut;
            compares.add(put.condition());
            puts.add(new StoreOp.Put(put.key(), put.value(), put.lease()));
            gets.add(StoreOp.get(put.key()));
            item.mInFlight = true;
        }
        return new StoreTxn(compares, puts, gets);
    }

    private static final class Item {
        private final ConditionalPut mPut;
        private final long mDeadline;
        private final CompletableFuture<PutResult> mResult = new CompletableFuture<>();
        private boolean mAlone;
        private volatile boolean mMaybeWritten;
        private volatile boolean mInFlight;

        Item(ConditionalPut put, long deadlineNanos) {
            mPut = put;
            mDeadline = deadlineNanos;
        }

        void end(PutResult.Status status, long revision, KeyValue stored) {
            mResult.complete(new PutResult(status, revision, stored));
        }

        void expire() {
            if (System.nanoTime() - mDeadline >= 0) {
                boolean maybe = mInFlight || mMaybeWritten;
                end(maybe ? PutResult.Status.UNSETTLED : PutResult.Status.UNAVAILABLE, 0, null);
            }
        }
    }
}
