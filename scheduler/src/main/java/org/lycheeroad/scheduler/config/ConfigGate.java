package org.lycheeroad.scheduler.config;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.work.ClusterConfig;

/** Chooses the configuration under which each API call is judged. */
public final class ConfigGate {
    /** How many revalidations in a row a call waits for. */
    private static final int MAX_REVALIDATION_WAITS = 2;

    private final ConfigCache mConfigCache;
    private final BooleanSupplier mStoreUnavailable;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;

    /**
     * Creates a gate.
     *
     * @param storeUnavailable returns whether the store is unavailable from this VM
     */
    public ConfigGate(
            ConfigCache configCache,
            BooleanSupplier storeUnavailable,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics) {
        mConfigCache = configCache;
        mStoreUnavailable = storeUnavailable;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
    }

    /**
     * Returns the configuration under which to judge a call.
     *
     * @param path the path of the call, for the log
     * @param suffices whether the call is served under a configuration; a call must not be rejected
     *     on the ground of an outdated one
     * @return empty if the cached configuration does not suffice and no newer one can be asked for
     */
    public CompletableFuture<Optional<ClusterConfig>> configFor(
            String path, Predicate<ClusterConfig> suffices) {
        long arrivedAtMs = mClock.monotonicMs();
        boolean revalidating = mConfigCache.isRevalidating();
        CompletableFuture<Optional<ClusterConfig>> config =
                awaitEarlierRevalidations(MAX_REVALIDATION_WAITS)
                        .thenCompose(unused -> currentOrRevalidated(suffices));
        return !revalidating && config.isDone()
                ? config
                : config.thenApply(
                        c -> {
                            recordJudged(path, c, mClock.monotonicMs() - arrivedAtMs);
                            return c;
                        });
    }

    /**
     * Waits for revalidations that earlier calls have requested. Such a call may request another
     * one when the first ends, so that waiting once is not enough; a bound keeps calls with unknown
     * keys from holding up all others.
     */
    private CompletableFuture<Void> awaitEarlierRevalidations(int mostWaits) {
        Optional<CompletableFuture<Optional<ClusterConfig>>> revalidation =
                mostWaits == 0 ? Optional.empty() : mConfigCache.revalidationInProgress();
        return revalidation.isEmpty()
                ? CompletableFuture.completedFuture(null)
                : revalidation
                        .get()
                        .thenCompose(unused -> awaitEarlierRevalidations(mostWaits - 1));
    }

    private CompletableFuture<Optional<ClusterConfig>> currentOrRevalidated(
            Predicate<ClusterConfig> suffices) {
        Optional<ClusterConfig> cached = mConfigCache.current().filter(suffices);
        return cached.isPresent()
                ? CompletableFuture.completedFuture(cached)
                : mConfigCache.revalidate();
    }

    private void recordJudged(String path, Optional<ClusterConfig> config, long waitedMs) {
        mMetrics.recordConfigWait(waitedMs);
        mEvents.record(
                EventCode.CALL_JUDGED,
                "",
                "path="
                        + path
                        + " version="
                        + config.map(c -> Long.toString(c.version())).orElse("none")
                        + " waited_ms="
                        + waitedMs
                        + " store_unavailable="
                        + mStoreUnavailable.getAsBoolean());
    }
}
