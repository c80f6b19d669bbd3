package org.lycheeroad.scheduler.config;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.StoreException;

/** A store whose responses to watches without a wait time are given by the test. */
final class FakeConfigStore implements MetadataStore {
    final AtomicInteger mReads = new AtomicInteger();
    final AtomicInteger mLongPolls = new AtomicInteger();
    private final List<CompletableFuture<WatchResponse>> mImmediateWatches = new ArrayList<>();

    private volatile boolean mReadsLost;

    static KeyValue configAt(long version) {
        return configOf(Long.toString(version));
    }

    static KeyValue configOf(String text) {
        return new KeyValue(VersionOnlySchema.CONFIG_KEY, ByteString.copyFromUtf8(text), 1, 0);
    }

    /** Makes all reads fail, as those of a silent store do after their time-out. */
    void loseReads() {
        mReadsLost = true;
    }

    /** Returns whether a watch without a wait time is to be answered. */
    synchronized boolean hasImmediateWatch() {
        return !mImmediateWatches.isEmpty();
    }

    /** Waits for a watch without a wait time. */
    synchronized void awaitImmediateWatch() throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(5);
        while (mImmediateWatches.isEmpty()) {
            assertThat(System.nanoTime()).as("time of the watch").isLessThan(deadlineNanos);
            wait(10);
        }
    }

    /** Waits for a watch without a wait time and lets it fail. */
    synchronized void loseImmediateWatch() throws InterruptedException {
        awaitImmediateWatch();
        mImmediateWatches.remove(0).completeExceptionally(lostCall());
    }

    /** Waits for a watch without a wait time and completes it. */
    synchronized void answerImmediateWatch(List<KeyValue> keyValues) throws InterruptedException {
        awaitImmediateWatch();
        List<Change> changes =
                keyValues.stream().map(kv -> new Change(VersionOnlySchema.CONFIG_KEY, kv)).toList();
        mImmediateWatches.remove(0).complete(new WatchResponse(changes, 10));
    }

    @Override
    public CompletableFuture<Page> list(String prefix, String afterKey) {
        return CompletableFuture.completedFuture(new Page(List.of(configAt(1)), "", 5));
    }

    @Override
    public synchronized CompletableFuture<WatchResponse> watch(
            String prefix, long afterRevision, long waitMs, long slackMs) {
        CompletableFuture<WatchResponse> response = new CompletableFuture<>();
        if (waitMs > 0) {
            mLongPolls.incrementAndGet();
        } else {
            assertThat(afterRevision).isEqualTo(5);
            mImmediateWatches.add(response);
            notifyAll();
        }
        return response;
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        mReads.incrementAndGet();
        if (mReadsLost) {
            return CompletableFuture.failedFuture(lostCall());
        }
        return CompletableFuture.completedFuture(Optional.of(configAt(1)));
    }

    @Override
    public CompletableFuture<CommitResult> commit(Transaction transaction) {
        throw new UnsupportedOperationException("commit is not used in this test");
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        throw new UnsupportedOperationException("leases are not used in this test");
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long leaseId) {
        throw new UnsupportedOperationException("leases are not used in this test");
    }

    @Override
    public CompletableFuture<Boolean> revokeLease(long leaseId) {
        throw new UnsupportedOperationException("leases are not used in this test");
    }

    private static StoreException lostCall() {
        return new StoreException(StoreException.Kind.UNKNOWN, "no response", null);
    }
}
