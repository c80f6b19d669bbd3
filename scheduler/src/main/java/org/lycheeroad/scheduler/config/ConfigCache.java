package org.lycheeroad.scheduler.config;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.HealthTrackingStore;
import org.lycheeroad.scheduler.PrefixWatch;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.work.ClusterConfig;

/**
 * Caches the newest version of the operators' configuration and never returns to an older one.
 *
 * <p>The configuration is read from the store, or from the other daemons while the store does not
 * respond.
 */
public final class ConfigCache {
    /** Bounds how long a change stays unnoticed if a watch connection has silently failed. */
    private static final long LONG_POLL_MS = 1_500;

    /** The least time between two requests to the other daemons. */
    private static final long PEER_QUERY_INTERVAL_MS = 500;

    /** Several times the network latency between regions. */
    private static final long REVALIDATION_TIMEOUT_MS = 900;

    /**
     * The age up to which a configuration counts as confirmed: the time after which an idle watch
     * counts as failed, which is less than the 3 s within which a change has to be in force.
     */
    private static final long MAX_CONFIRMED_AGE_MS = LONG_POLL_MS + REVALIDATION_TIMEOUT_MS;

    /** Who answered a revalidation; logs and metrics have the names in lower case. */
    private enum AnsweredBy {
        STORE,
        PEERS,
        NOBODY
    }

    /**
     * A compressed configuration.
     *
     * @param version the version of the configuration; {@code bytes} may hold a newer one
     */
    private record CompressedConfig(long version, ByteString bytes) {}

    private final HealthTrackingStore mStore;
    private final SerialExecutor mExecutor;
    private final PlatformSchema mSchema;
    private final PeerClient mPeers;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;
    private final PrefixWatch mWatch;
    private volatile ClusterConfig mConfig;
    private volatile ByteString mSerializedConfig = ByteString.EMPTY;
    private volatile CompressedConfig mCompressed;
    private volatile long mValidatedAtMs = Long.MIN_VALUE / 2;
    private long mPeersQueriedAtMs = Long.MIN_VALUE / 2;

    /** The store's revision up to which changes are known; 0 before the first listing. */
    private volatile long mWatchedRevision;

    public ConfigCache(
            HealthTrackingStore store,
            SerialExecutor executor,
            PlatformSchema schema,
            PeerClient peers,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics) {
        mStore = store;
        mExecutor = executor;
        mSchema = schema;
        mPeers = peers;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mWatch =
                new PrefixWatch(
                        store,
                        executor,
                        schema.configKey(),
                        LONG_POLL_MS,
                        new ConfigWatchListener());
    }

    public void start() {
        mExecutor.execute(mWatch::start);
    }

    public void stop() {
        mExecutor.execute(mWatch::stop);
    }

    /** Returns the newest configuration known, or empty if none is. */
    public Optional<ClusterConfig> current() {
        return Optional.ofNullable(mConfig);
    }

    /** Returns the newest configuration, as stored but compressed, if newer than a version. */
    public Optional<ByteString> compressedIfNewer(long version) {
        CompressedConfig compressed = mCompressed;
        ClusterConfig config = mConfig;
        if (config == null || config.version() <= version) {
            return Optional.empty();
        }
        if (compressed == null || compressed.version < config.version()) {
            compressed = new CompressedConfig(config.version(), Gzip.compress(mSerializedConfig));
            mCompressed = compressed;
        }
        return Optional.of(compressed.bytes);
    }

    /** Returns the time in milliseconds since the configuration was known to be the newest. */
    public long ageMs() {
        return mClock.monotonicMs() - mValidatedAtMs;
    }

    /** Returns whether the store has confirmed the configuration recently. */
    public boolean isConfirmed() {
        return ageMs() <= MAX_CONFIRMED_AGE_MS;
    }

    /**
     * Checks whether a newer configuration exists and applies it. The other daemons are asked if
     * the store does not respond, and at the same time while it is unavailable. Only replies that
     * the store has confirmed to them count, as the others may be as far behind as this daemon.
     *
     * @return the newest configuration, or empty if nobody confirms it
     */
    public CompletableFuture<Optional<ClusterConfig>> revalidate() {
        long startedAtMs = mClock.monotonicMs();
        boolean storeUnavailable = mStore.isUnavailable();
        CompletableFuture<Boolean> store = queryStore(startedAtMs);
        CompletableFuture<Boolean> peers =
                storeUnavailable
                        ? queryPeers()
                        : store.thenCompose(
                                answered ->
                                        answered
                                                ? CompletableFuture.completedFuture(false)
                                                : queryPeers());
        return firstAnswer(store, peers)
                .thenApply(
                        answeredBy -> {
                            recordRevalidation(answeredBy, startedAtMs);
                            return answeredBy == AnsweredBy.NOBODY ? Optional.empty() : current();
                        });
    }

    /**
     * Reads the configuration from the store if it has changed.
     *
     * @return whether the store responds and its response has been applied; ends after an
     *     unexpected error too, since API calls wait for it
     */
    private CompletableFuture<Boolean> queryStore(long startedAtMs) {
        CompletableFuture<Boolean> answered = new CompletableFuture<>();
        mExecutor.whenComplete(
                readIfChanged(),
                (changed, e) -> {
                    boolean applied = false;
                    try {
                        if (e == null) {
                            changed.forEach(kv -> applyIfNewer(kv.value(), "store"));
                            mValidatedAtMs = Math.max(mValidatedAtMs, startedAtMs);
                            applied = true;
                        }
                    } finally {
                        answered.complete(applied);
                    }
                });
        return answered;
    }

    /** Returns who answers first; both queries end on the executor's thread. */
    private static CompletableFuture<AnsweredBy> firstAnswer(
            CompletableFuture<Boolean> store, CompletableFuture<Boolean> peers) {
        CompletableFuture<AnsweredBy> first = new CompletableFuture<>();
        store.thenAccept(answered -> completeIf(answered, first, AnsweredBy.STORE));
        peers.thenAccept(confirmed -> completeIf(confirmed, first, AnsweredBy.PEERS));
        store.thenAcceptBoth(
                peers,
                (answered, confirmed) ->
                        completeIf(!answered && !confirmed, first, AnsweredBy.NOBODY));
        return first;
    }

    private static void completeIf(
            boolean condition, CompletableFuture<AnsweredBy> answer, AnsweredBy answeredBy) {
        if (condition) {
            answer.complete(answeredBy);
        }
    }

    private void recordRevalidation(AnsweredBy answeredBy, long startedAtMs) {
        String answeredByText = answeredBy.name().toLowerCase(Locale.ROOT);
        mMetrics.countConfigRevalidation(answeredByText);
        mEvents.record(
                EventCode.CONFIG_REVALIDATED,
                "",
                "answered_by="
                        + answeredByText
                        + " version="
                        + current().map(c -> Long.toString(c.version())).orElse("none")
                        + " took_ms="
                        + (mClock.monotonicMs() - startedAtMs));
    }

    /**
     * Returns the configuration if it has changed; as it may be large, it is not read otherwise.
     */
    private CompletableFuture<List<KeyValue>> readIfChanged() {
        if (mWatchedRevision == 0) {
            return readConfig();
        }
        return mStore.watch(mSchema.configKey(), mWatchedRevision, 0, REVALIDATION_TIMEOUT_MS)
                .thenApply(
                        response ->
                                response.changes().stream()
                                        .map(MetadataStore.Change::keyValue)
                                        .filter(kv -> kv != null && isConfigKey(kv))
                                        .toList())
                .exceptionallyCompose(
                        e ->
                                StoreException.kindOf(e) == StoreException.Kind.COMPACTED
                                        ? readConfig()
                                        : CompletableFuture.failedFuture(e));
    }

    private CompletableFuture<List<KeyValue>> readConfig() {
        return mStore.read(mSchema.configKey()).thenApply(keyValue -> keyValue.stream().toList());
    }

    private boolean isConfigKey(KeyValue keyValue) {
        return keyValue.key().equals(mSchema.configKey());
    }

    /**
     * Asks the other daemons for newer configurations and applies them.
     *
     * @return whether the store has confirmed one of their replies; ends after an unexpected error
     *     too, since API calls wait for it
     */
    private CompletableFuture<Boolean> queryPeers() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        long version = mConfig == null ? -1 : mConfig.version();
        mExecutor.whenComplete(
                mPeers.fetchNewerConfigs(version),
                (replies, e) -> {
                    boolean confirmed = false;
                    try {
                        if (e == null) {
                            for (Optional<ByteString> newer : replies.newer()) {
                                newer.ifPresent(serialized -> applyIfNewer(serialized, "peer"));
                            }
                            confirmed = replies.confirmed();
                        }
                    } finally {
                        done.complete(confirmed);
                    }
                });
        return done;
    }

    private void applyIfNewer(ByteString serialized, String source) {
        ClusterConfig config;
        try {
            config = mSchema.parseConfig(serialized);
        } catch (PlatformSchema.FormatException e) {
            mEvents.record(
                    EventCode.RECORD_UNREADABLE,
                    "",
                    "key=" + mSchema.configKey() + " reason=\"" + e.getMessage() + '"');
            return;
        }
        ClusterConfig old = mConfig;
        if (old == null || config.version() > old.version()) {
            // Set before mConfig, so that a thread that sees the new version also sees its bytes.
            mSerializedConfig = serialized;
            mConfig = config;
            mEvents.record(
                    EventCode.CONFIG_IN_FORCE,
                    "",
                    "version="
                            + config.version()
                            + " source="
                            + source
                            + " queues="
                            + config.queues().size());
        }
    }

    private final class ConfigWatchListener implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<KeyValue> keyValues) {
            PrefixWatch.forEach(keyValues, this::onPut);
        }

        @Override
        public void onPut(KeyValue keyValue) {
            if (isConfigKey(keyValue)) {
                applyIfNewer(keyValue.value(), "store");
            }
        }

        @Override
        public void onDelete(String key) {
            mEvents.record(EventCode.RECORD_UNREADABLE, "", "key=" + key + " reason=removed");
        }

        @Override
        public void onUpToDate(long revision) {
            mValidatedAtMs = mClock.monotonicMs();
            mWatchedRevision = revision;
        }

        @Override
        public void onFailure() {
            long nowMs = mClock.monotonicMs();
            if (nowMs - mPeersQueriedAtMs > PEER_QUERY_INTERVAL_MS) {
                mPeersQueriedAtMs = nowMs;
                queryPeers();
            }
        }
    }
}
