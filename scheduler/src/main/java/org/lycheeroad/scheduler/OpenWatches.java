package org.lycheeroad.scheduler;

import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.lycheeroad.scheduler.port.MetadataStore.WatchResponse;
import org.lycheeroad.scheduler.port.StoreException;

/**
 * Watches that wait for a response of the store and can be sent again.
 *
 * <p>The first response to any copy of a watch counts; a watch fails once all its copies have
 * failed.
 */
final class OpenWatches {
    private final Set<OpenWatch> mOpen = ConcurrentHashMap.newKeySet();

    /** Sends a watch, which stays open until the returned future is complete. */
    CompletableFuture<WatchResponse> send(Supplier<CompletableFuture<WatchResponse>> call) {
        OpenWatch watch = new OpenWatch(call);
        mOpen.add(watch);
        watch.mResult.whenComplete((response, failure) -> mOpen.remove(watch));
        watch.send();
        return watch.mResult;
    }

    /** Sends another copy of each open watch. */
    void repeatAll() {
        mOpen.forEach(OpenWatch::send);
    }

    private static final class OpenWatch {
        private final Supplier<CompletableFuture<WatchResponse>> mCall;
        private final CompletableFuture<WatchResponse> mResult = new CompletableFuture<>();

        /** The number of copies that have neither been answered nor failed; guarded by this. */
        private int mPendingCopies;

        private OpenWatch(Supplier<CompletableFuture<WatchResponse>> call) {
            mCall = call;
        }

        private void send() {
            synchronized (this) {
                mPendingCopies++;
            }
            mCall.get().whenComplete(this::onEnd);
        }

        private void onEnd(WatchResponse response, Throwable failure) {
            boolean isLast;
            synchronized (this) {
                mPendingCopies--;
                isLast = mPendingCopies == 0;
            }
            if (failure == null) {
                mResult.complete(response);
            } else if (isLast || StoreException.isFromStore(failure)) {
                mResult.completeExceptionally(failure);
            }
        }
    }
}
