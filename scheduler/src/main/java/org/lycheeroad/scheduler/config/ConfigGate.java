package org.lycheeroad.scheduler.config;

import java.util.ArrayDeque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.work.ClusterConfig;

/**
 * Chooses the configuration under which each API call is judged, in the order in which they arrive.
 *
 * <p>A call that the cached configuration rejects waits for a revalidation that begins after its
 * arrival, and later calls wait behind it; otherwise they could be served under an older
 * configuration. Calls that wait share revalidations, so that each waits for at most two: the one
 * that is in progress when it arrives, and the next.
 */
public final class ConfigGate {
    private final ConfigCache mConfigCache;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;

    /** The calls that wait, in the order of their arrival; guarded by this. */
    private final Queue<WaitingCall> mWaiting = new ArrayDeque<>();

    /** Whether a revalidation is in progress; guarded by this. */
    private boolean mRevalidating;

    private record WaitingCall(
            String path,
            Predicate<ClusterConfig> suffices,
            long arrivedAtMs,
            CompletableFuture<Optional<ClusterConfig>> config) {}

    public ConfigGate(
            ConfigCache configCache, Clock clock, EventRecorder events, NodeMetrics metrics) {
        mConfigCache = configCache;
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
    public synchronized CompletableFuture<Optional<ClusterConfig>> configFor(
            String path, Predicate<ClusterConfig> suffices) {
        if (!mRevalidating) {
            Optional<ClusterConfig> cached = mConfigCache.current().filter(suffices);
            if (cached.isPresent()) {
                return CompletableFuture.completedFuture(cached);
            }
        }
        WaitingCall call =
                new WaitingCall(path, suffices, mClock.monotonicMs(), new CompletableFuture<>());
        mWaiting.add(call);
        if (!mRevalidating) {
            revalidate();
        }
        return call.config();
    }

    private synchronized void revalidate() {
        mRevalidating = true;
        int calls = mWaiting.size();
        mConfigCache.revalidate().thenAccept(newest -> onRevalidated(calls, newest));
    }

    /**
     * Judges the calls that a revalidation has been for, and those behind them that the
     * configuration serves. The first call that it does not serve needs another revalidation, for
     * which all behind it wait.
     *
     * @param calls how many calls had arrived when the revalidation began
     */
    private void onRevalidated(int calls, Optional<ClusterConfig> newest) {
        Map<WaitingCall, Optional<ClusterConfig>> judged = new LinkedHashMap<>();
        synchronized (this) {
            for (int i = 0; i < calls; i++) {
                WaitingCall call = mWaiting.remove();
                // Without an answer, calls that only waited behind others may still be served.
                judged.put(call, newest.or(() -> cachedFor(call)));
            }
            while (!mWaiting.isEmpty() && cachedFor(mWaiting.element()).isPresent()) {
                WaitingCall call = mWaiting.remove();
                judged.put(call, cachedFor(call));
            }
            if (mWaiting.isEmpty()) {
                mRevalidating = false;
            } else {
                revalidate();
            }
        }
        judged.forEach(this::complete);
    }

    private Optional<ClusterConfig> cachedFor(WaitingCall call) {
        return mConfigCache.current().filter(call.suffices());
    }

    private void complete(WaitingCall call, Optional<ClusterConfig> config) {
        long waitedMs = mClock.monotonicMs() - call.arrivedAtMs();
        mMetrics.recordConfigWait(waitedMs);
        mEvents.record(
                EventCode.CALL_JUDGED,
                "",
                "path="
                        + call.path()
                        + " version="
                        + config.map(c -> Long.toString(c.version())).orElse("none")
                        + " waited_ms="
                        + waitedMs);
        call.config().complete(config);
    }
}
