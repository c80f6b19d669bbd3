package org.lycheeroad.scheduler.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.port.MetadataStore;

/** A store whose commits the test answers. */
final class ScriptedStore implements MetadataStore {
    /** One commit that waits for its answer. */
    record Pending(Transaction commit, CompletableFuture<CommitResult> answer) {}

    private final List<Pending> mCommits = new ArrayList<>();

    /** Waits for the next commit. */
    synchronized Pending nextCommit() throws InterruptedException {
        long end = System.currentTimeMillis() + 5_000;
        while (mCommits.isEmpty()) {
            if (System.currentTimeMillis() > end) {
                throw new AssertionError("no commit within 5 s");
            }
            wait(10);
        }
        return mCommits.remove(0);
    }

    synchronized boolean hasCommit() {
        return !mCommits.isEmpty();
    }

    @Override
    public synchronized CompletableFuture<CommitResult> commit(Transaction commit) {
        Pending pending = new Pending(commit, new CompletableFuture<>());
        mCommits.add(pending);
        notifyAll();
        return pending.answer();
    }

    @Override
    public CompletableFuture<Optional<KeyValue>> read(String key) {
        return CompletableFuture.completedFuture(Optional.empty());
    }

    @Override
    public CompletableFuture<Page> list(String prefix, String after) {
        return CompletableFuture.completedFuture(new Page(List.of(), false, 1));
    }

    @Override
    public CompletableFuture<WatchResponse> watch(
            String prefix, long after, long waitMs, long slackMs) {
        return new CompletableFuture<>();
    }

    @Override
    public CompletableFuture<Long> grantLease(long ttlMs) {
        return CompletableFuture.completedFuture(1L);
    }

    @Override
    public CompletableFuture<Boolean> renewLease(long lease) {
        return CompletableFuture.completedFuture(true);
    }

    @Override
    public CompletableFuture<Boolean> revokeLease(long lease) {
        return CompletableFuture.completedFuture(true);
    }
}
