package org.lycheeroad.scheduler.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.port.MetadataStore;

/** A store whose commits are completed by the test. */
class ScriptedStore implements MetadataStore {
    /** A commit that is not completed yet. */
    record PendingCommit(Transaction transaction, CompletableFuture<CommitResult> result) {}

    private final List<PendingCommit> mPendingCommits = new ArrayList<>();

    /** Waits for the next commit and removes it from the list of pending ones. */
    synchronized PendingCommit nextCommit() throws InterruptedException {
        long deadlineMs = System.currentTimeMillis() + 5_000;
        while (mPendingCommits.isEmpty()) {
            if (System.currentTimeMillis() > deadlineMs) {
                throw new AssertionError("no commit within 5 s");
            }
            wait(10);
        }
        return mPendingCommits.remove(0);
    }

    synchronized boolean hasCommit() {
        return !mPendingCommits.isEmpty();
    }

    @Override
    public synchronized CompletableFuture<CommitResult> commit(Transaction transaction) {
        PendingCommit pending = new PendingCommit(transaction, new CompletableFuture<>());
        mPendingCommits.add(pending);
        notifyAll();
        return pending.result();
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletableFuture<Page> list(String prefix, String afterKey) {
        return CompletableFuture.completedFuture(new Page(List.of(), "", 1));
    }

    @Override
    public CompletableFuture<WatchResponse> watch(
            String prefix, long afterRevision, long waitMs, long slackMs) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return CompletableFuture.completedFuture(1L);
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long leaseId) {
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<Boolean> revokeLease(long leaseId) {
        return CompletableFuture.completedFuture(true);
    }
}
