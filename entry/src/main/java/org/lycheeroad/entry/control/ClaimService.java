package org.lycheeroad.entry.control;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import org.lycheeroad.coordination.routing.ClaimResult;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.transport.store.ConditionalPut;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.PutResult;
import org.lycheeroad.transport.store.StoreBatcher;
import org.lycheeroad.transport.store.StoreClient;

/**
 * Creates the claims of not repeatable requests.
 *
 * <p>A claim that is answered UNAVAILABLE may still be stored, which is harmless to the request,
 * because nothing was sent; it is deleted later, so that a repetition can run.
 */
final class ClaimService {
    private static final long TIMEOUT_MILLIS = 1_000;
    private static final long[] DELETE_AFTER_MILLIS = {2_000, 15_000, 60_000};

    private record Claim(EntryId entry, String attempt) {}

    private final EntryId mSelf;
    private final StoreClient mStore;
    private final StoreBatcher mBatcher;
    private final EventLoopGroup mGroup;
    private final HourlyLeases mLeases;
    private final Consumer<String> mOnAbandoned;

    /**
     * Creates the service.
     *
     * @param onAbandoned is told which claim was given up without an answer, on any thread
     */
    ClaimService(
            EntryId self,
            StoreClient store,
            StoreBatcher batcher,
            EventLoopGroup group,
            HourlyLeases leases,
            Consumer<String> onAbandoned) {
        mSelf = self;
        mStore = store;
        mBatcher = batcher;
        mGroup = group;
        mLeases = leases;
        mOnAbandoned = onAbandoned;
    }

    CompletableFuture<ClaimResult> claim(String team, String key, String attempt) {
        if (mStore.isCircuitOpen()) {
            return CompletableFuture.completedFuture(ClaimResult.UNAVAILABLE);
        }
        String storeKey = StoreKeys.claim(team, key);
        String value = Json.write(new Claim(mSelf, attempt));
        CompletableFuture<ClaimResult> written =
                mLeases.current().thenCompose(lease -> put(storeKey, value, lease));
        return written.copy()
                .orTimeout(2 * TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(
                        e -> {
                            if (e instanceof TimeoutException) {
                                abandon(storeKey, value, written);
                            }
                            return ClaimResult.UNAVAILABLE;
                        });
    }

    /** Gives up a claim whose caller is told that nothing ran; a late write must not stay. */
    private void abandon(String key, String value, CompletableFuture<ClaimResult> written) {
        mOnAbandoned.accept(key);
        written.thenAccept(
                result -> {
                    if (result == ClaimResult.GRANTED) {
                        release(key, value);
                    }
                });
    }

    private CompletableFuture<ClaimResult> put(String key, String value, long lease) {
        ConditionalPut put = new ConditionalPut(key, value, lease, StoreCompare.absent(key));
        return mBatcher.put(put, TIMEOUT_MILLIS).thenApply(result -> toResult(put, result));
    }

    private ClaimResult toResult(ConditionalPut put, PutResult result) {
        return switch (result.status()) {
            case WRITTEN -> ClaimResult.GRANTED;
            case REFUSED -> ClaimResult.ALREADY_CLAIMED;
            case UNAVAILABLE -> {
                mLeases.drop();
                yield ClaimResult.UNAVAILABLE;
            }
            case UNSETTLED -> {
                deleteLater(put.key(), put.value());
                mOnAbandoned.accept(put.key());
                yield ClaimResult.UNAVAILABLE;
            }
        };
    }

    /** Deletes a claim, if it is this attempt's, at once and again in case the store is away. */
    void release(String team, String key, String attempt) {
        String storeKey = StoreKeys.claim(team, key);
        String value = Json.write(new Claim(mSelf, attempt));
        release(storeKey, value);
    }

    private void release(String storeKey, String value) {
        delete(storeKey, value);
        deleteLater(storeKey, value);
    }

    private void deleteLater(String key, String value) {
        for (long delay : DELETE_AFTER_MILLIS) {
            mGroup.schedule(() -> delete(key, value), delay, TimeUnit.MILLISECONDS);
        }
    }

    private void delete(String key, String value) {
        StoreTxn txn =
                new StoreTxn(
                        List.of(StoreCompare.hasValue(key, value)),
                        List.of(StoreOp.delete(key)),
                        List.of());
        mStore.txn(Mechanism.CLAIMS, txn);
    }
}
