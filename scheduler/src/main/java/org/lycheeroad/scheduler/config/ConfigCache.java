package org.lycheeroad.scheduler.config;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.PrefixWatch;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.scheduler.port.StoreException;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.work.ClusterConfig;

/**
 * Keeps the newest configuration, which never goes back to an older version.
 *
 * <p>While the store does not answer this VM, the other daemons are asked.
 */
public final class ConfigCache {
    /** Bounds how long a connection that went silent hides a change. */
    private static final long LONG_POLL_MS = 1_500;

    /** The pause between two questions to the other daemons. */
    private static final long PEER_QUERY_INTERVAL_MS = 500;

    /** Several times the way between regions. */
    private static final long REVALIDATION_TIMEOUT_MS = 900;

    /** A configuration confirmed more recently than this is taken as the newest. */
    private static final long MAX_FRESH_AGE_MS = 50;

    /** A packed configuration and its version at least. */
    private record CompressedConfig(long version, ByteString bytes) {}

    private final MetadataStore mStore;
    private final SerialExecutor mExecutor;
    private final PlatformSchema mSchema;
    private final PeerClient mPeers;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final PrefixWatch mWatch;
    private volatile ClusterConfig mConfig;
    private volatile ByteString mSerializedConfig = ByteString.EMPTY;
    private volatile CompressedConfig mCompressed;
    private volatile long mValidatedAtMs = Long.MIN_VALUE / 2;
    private long mPeersQueriedAtMs = Long.MIN_VALUE / 2;

    /** The store's revision up to which changes have been told; 0 before the first listing. */
    private long mWatchedRevision;

    /** The confirmation that is under way, or null. */
    private volatile CompletableFuture<Optional<ClusterConfig>> mRevalidation;

    /** The confirmation that starts once the present one has ended, or null. */
    private CompletableFuture<Optional<ClusterConfig>> mNextRevalidation;

    public ConfigCache(
            MetadataStore store,
            SerialExecutor strand,
            PlatformSchema catalog,
            PeerClient peers,
            Clock clock,
            EventRecorder events) {
        mStore = store;
        mExecutor = strand;
        mSchema = catalog;
        mPeers = peers;
        mClock = clock;
        mEvents = events;
        mWatch =
                new PrefixWatch(
                        store,
                        strand,
                        catalog.configKey(),
                        LONG_POLL_MS,
                        new ConfigWatchListener());
    }

    public void start() {
        mExecutor.execute(mWatch::start);
    }

    public void stop() {
        mExecutor.execute(mWatch::stop);
    }

    /** Returns the newest configuration that this daemon knows. */
    public Optional<ClusterConfig> current() {
        return Optional.ofNullable(mConfig);
    }

    /** Returns the newest configuration in the operators' own form, packed, if it is newer. */
    public Optional<ByteString> compressedIfNewer(long version) {
        CompressedConfig packed = mCompressed;
        ClusterConfig config = mConfig;
        if (config == null || config.version() <= version) {
            return Optional.empty();
        }
        if (packed == null || packed.version < config.version()) {
            packed = new CompressedConfig(config.version(), Gzip.compress(mSerializedConfig));
            mCompressed = packed;
        }
        return Optional.of(packed.bytes);
    }

    /** Returns how long ago the configuration was confirmed as the newest, in milliseconds. */
    public long ageMs() {
        return mClock.monotonicMs() - mValidatedAtMs;
    }

    /**
     * Returns the confirmation that is under way, if there is one.
     *
     * <p>Whoever comes later must not be served by an older configuration than whoever waits for
     * it.
     */
    public Optional<CompletableFuture<Optional<ClusterConfig>>> revalidationInProgress() {
        return Optional.ofNullable(mRevalidation);
    }

    /**
     * Confirms the newest configuration, to be asked before a caller is told that something does
     * not exist.
     *
     * @return empty if neither the store nor another daemon answers
     */
    public CompletableFuture<Optional<ClusterConfig>> revalidate() {
        if (mConfig != null && ageMs() < MAX_FRESH_AGE_MS) {
            return CompletableFuture.completedFuture(current());
        }
        CompletableFuture<Optional<ClusterConfig>> confirmed = new CompletableFuture<>();
        mExecutor.execute(() -> nextRevalidation().thenAccept(confirmed::complete));
        return confirmed;
    }

    /** Calls that come while a confirmation is under way get the next one. */
    private CompletableFuture<Optional<ClusterConfig>> nextRevalidation() {
        if (mNextRevalidation == null) {
            mNextRevalidation = new CompletableFuture<>();
        }
        CompletableFuture<Optional<ClusterConfig>> next = mNextRevalidation;
        if (mRevalidation == null) {
            startRevalidation();
        }
        return next;
    }

    private void startRevalidation() {
        CompletableFuture<Optional<ClusterConfig>> confirmation = mNextRevalidation;
        mNextRevalidation = null;
        mRevalidation = confirmation;
        long asked = mClock.monotonicMs();
        mExecutor.whenComplete(
                readIfChanged(),
                (items, e) -> {
                    if (e == null) {
                        items.forEach(i -> applyIfNewer(i.value(), "store"));
                        mValidatedAtMs = Math.max(mValidatedAtMs, asked);
                        finishRevalidation(confirmation, current());
                    } else {
                        mExecutor.whenComplete(
                                queryPeers(),
                                (any, x) ->
                                        finishRevalidation(
                                                confirmation, any ? current() : Optional.empty()));
                    }
                });
    }

    private void finishRevalidation(
            CompletableFuture<Optional<ClusterConfig>> confirmation,
            Optional<ClusterConfig> config) {
        mRevalidation = null;
        confirmation.complete(config);
        if (mNextRevalidation != null) {
            startRevalidation();
        }
    }

    /** Returns the configuration if it has changed; it may be large, so it is not read anew. */
    private CompletableFuture<List<KeyValue>> readIfChanged() {
        if (mWatchedRevision == 0) {
            return readConfig();
        }
        return mStore.watch(mSchema.configKey(), mWatchedRevision, 0, REVALIDATION_TIMEOUT_MS)
                .thenApply(
                        changes ->
                                changes.changes().stream()
                                        .map(MetadataStore.Change::keyValue)
                                        .filter(i -> i != null && isConfigKey(i))
                                        .toList())
                .exceptionallyCompose(
                        e ->
                                StoreException.kindOf(e) == StoreException.Kind.COMPACTED
                                        ? readConfig()
                                        : CompletableFuture.failedFuture(e));
    }

    private CompletableFuture<List<KeyValue>> readConfig() {
        return mStore.read(mSchema.configKey()).thenApply(item -> item.stream().toList());
    }

    private boolean isConfigKey(KeyValue item) {
        return item.key().equals(mSchema.configKey());
    }

    private CompletableFuture<Boolean> queryPeers() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        long version = mConfig == null ? -1 : mConfig.version();
        mExecutor.whenComplete(
                mPeers.fetchNewerConfigs(version),
                (answers, e) -> {
                    boolean any = e == null && !answers.isEmpty();
                    if (any) {
                        for (Optional<ByteString> newer : answers) {
                            newer.ifPresent(text -> applyIfNewer(text, "peer"));
                        }
                    }
                    done.complete(any);
                });
        return done;
    }

    private void applyIfNewer(ByteString text, String source) {
        ClusterConfig config;
        try {
            config = mSchema.parseConfig(text);
        } catch (PlatformSchema.FormatException e) {
            mEvents.record(
                    EventCode.RECORD_UNREADABLE,
                    "",
                    "key=" + mSchema.configKey() + " reason=\"" + e.getMessage() + '"');
            return;
        }
        ClusterConfig old = mConfig;
        if (old == null || config.version() > old.version()) {
            // The text is set first, so that whoever sees the version finds its text.
            mSerializedConfig = text;
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
        public void onSnapshot(List<KeyValue> items) {
            items.forEach(this::onPut);
        }

        @Override
        public void onPut(KeyValue item) {
            if (isConfigKey(item)) {
                applyIfNewer(item.value(), "store");
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
            long now = mClock.monotonicMs();
            if (now - mPeersQueriedAtMs > PEER_QUERY_INTERVAL_MS) {
                mPeersQueriedAtMs = now;
                queryPeers();
            }
        }
    }
}
