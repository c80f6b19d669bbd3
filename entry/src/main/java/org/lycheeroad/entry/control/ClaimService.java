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
 * Creates the claims of non-repeatable requests in the store.
 *
 * <p>A claim that is reported as {@code UNAVAILABLE} may still have been written. The request was
 * not sent in that case, so it cannot run twice, but the claim has to be deleted for a retry to be
 * accepted.
 */
final class ClaimService {
    private static final long STORE_TIMEOUT_MILLIS = 1_000;
    private static final long[] DELETE_RETRY_DELAYS_MILLIS = {2_000, 15_000, 60_000};

    private record Claim(EntryId entry, String attempt) {}

    private final EntryId mLocalEntry;
    private final StoreClient mStore;
    private final StoreBatcher mBatcher;
    private final EventLoopGroup mEventLoopGroup;
    private final HourlyLeaseProvider mLeaseProvider;
    private final Consumer<String> mOnAbandoned;

    /**
     * Creates the service.
     *
     * @param onAbandoned receives the key of each claim abandoned without a response, on any thread
     */
    ClaimService(
            EntryId localEntry,
            StoreClient store,
            StoreBatcher batcher,
            EventLoopGroup eventLoopGroup,
            HourlyLeaseProvider leaseProvider,
            Consumer<String> onAbandoned) {
        mLocalEntry = localEntry;
        mStore = store;
        mBatcher = batcher;
        mEventLoopGroup = eventLoopGroup;
        mLeaseProvider = leaseProvider;
        mOnAbandoned = onAbandoned;
    }

    CompletableFuture<ClaimResult> claim(String team, String key, String attempt) {
        if (mStore.isCircuitOpen()) {
            return CompletableFuture.completedFuture(ClaimResult.UNAVAILABLE);
        }
        String storeKey = StoreKeys.claimKey(team, key);
        String value = Json.write(new Claim(mLocalEntry, attempt));
        CompletableFuture<ClaimResult> claimResult =
                mLeaseProvider.currentLease().thenCompose(leaseId -> put(storeKey, value, leaseId));
        return claimResult
                .copy()
                .orTimeout(2 * STORE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .exceptionally(
                        failure -> {
                            if (failure instanceof TimeoutException) {
                                abandon(storeKey, value, claimResult);
                            }
                            return ClaimResult.UNAVAILABLE;
                        });
    }

    /**
     * Abandons a claim whose caller was told that the request did not run.
     *
     * <p>If the claim is still written afterwards, it is deleted.
     */
    private void abandon(String key, String value, CompletableFuture<ClaimResult> claimResult) {
        mOnAbandoned.accept(key);
        claimResult.thenAccept(
                result -> {
                    if (result == ClaimResult.GRANTED) {
                        release(key, value);
                    }
                });
    }

    private CompletableFuture<ClaimResult> put(String key, String value, long leaseId) {
        ConditionalPut put = new ConditionalPut(key, value, leaseId, StoreCompare.absent(key));
        return mBatcher.put(put, STORE_TIMEOUT_MILLIS)
                .thenApply(result -> toClaimResult(put, result));
    }

    private ClaimResult toClaimResult(ConditionalPut put, PutResult result) {
        return switch (result.status()) {
            case WRITTEN -> ClaimResult.GRANTED;
            case REFUSED -> ClaimResult.ALREADY_CLAIMED;
            case UNAVAILABLE -> {
                mLeaseProvider.invalidate();
                yield ClaimResult.UNAVAILABLE;
            }
            case UNSETTLED -> {
                scheduleDeletes(put.key(), put.value());
                mOnAbandoned.accept(put.key());
                yield ClaimResult.UNAVAILABLE;
            }
        };
    }

    /**
     * Deletes a claim if it belongs to this attempt.
     *
     * <p>The delete is repeated later in case the store is unavailable now.
     */
    void release(String team, String key, String attempt) {
        String storeKey = StoreKeys.claimKey(team, key);
        String value = Json.write(new Claim(mLocalEntry, attempt));
        release(storeKey, value);
    }

    private void release(String storeKey, String value) {
        deleteIfUnchanged(storeKey, value);
        scheduleDeletes(storeKey, value);
    }

    private void scheduleDeletes(String key, String value) {
        for (long delayMillis : DELETE_RETRY_DELAYS_MILLIS) {
            mEventLoopGroup.schedule(
                    () -> deleteIfUnchanged(key, value), delayMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void deleteIfUnchanged(String key, String value) {
        StoreTxn txn =
                new StoreTxn(
                        List.of(StoreCompare.hasValue(key, value)),
                        List.of(StoreOp.delete(key)),
                        List.of());
        mStore.txn(Mechanism.CLAIMS, txn);
    }
}
