package org.lycheeroad.scheduler.config;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.PrefixWatch;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.log.Events;
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
public final class ConfigKeeper {
    /** Bounds how long a connection that went silent hides a change. */
    private static final long WATCH_MS = 1_500;

    /** The pause between two questions to the other daemons. */
    private static final long ASK_PEERS_MS = 500;

    /** Several times the way between regions. */
    private static final long CONFIRM_MS = 900;

    /** A configuration confirmed more recently than this is taken as the newest. */
    private static final long FRESH_MS = 50;

    /** A packed configuration and its version at least. */
    private record Packed(long version, ByteString text) {}

    private final MetadataStore mStore;
    private final SerialExecutor mStrand;
    private final PlatformSchema mCatalog;
    private final PeerClient mPeers;
    private final Clock mClock;
    private final Events mEvents;
    private final PrefixWatch mWatch;
    private volatile ClusterConfig mConfig;
    private volatile ByteString mText = ByteString.EMPTY;
    private volatile Packed mPacked;
    private volatile long mConfirmedAt = Long.MIN_VALUE / 2;
    private long mAskedPeersAt = Long.MIN_VALUE / 2;

    /** The store's revision up to which changes have been told; 0 before the first listing. */
    private long mRevision;

    /** The confirmation that is under way, or null. */
    private volatile CompletableFuture<Optional<ClusterConfig>> mConfirmation;

    /** The confirmation that starts once the present one has ended, or null. */
    private CompletableFuture<Optional<ClusterConfig>> mNextConfirmation;

    public ConfigKeeper(
            MetadataStore store,
            SerialExecutor strand,
            PlatformSchema catalog,
            PeerClient peers,
            Clock clock,
            Events events) {
        mStore = store;
        mStrand = strand;
        mCatalog = catalog;
        mPeers = peers;
        mClock = clock;
        mEvents = events;
        mWatch = new PrefixWatch(store, strand, catalog.configKey(), WATCH_MS, new ConfigKey());
    }

    public void start() {
        mStrand.execute(mWatch::start);
    }

    public void stop() {
        mStrand.execute(mWatch::stop);
    }

    /** Returns the newest configuration that this daemon knows. */
    public Optional<ClusterConfig> current() {
        return Optional.ofNullable(mConfig);
    }

    /** Returns the newest configuration in the operators' own form, packed, if it is newer. */
    public Optional<ByteString> packedIfNewer(long version) {
        Packed packed = mPacked;
        ClusterConfig config = mConfig;
        if (config == null || config.version() <= version) {
            return Optional.empty();
        }
        if (packed == null || packed.version < config.version()) {
            packed = new Packed(config.version(), Gzip.pack(mText));
            mPacked = packed;
        }
        return Optional.of(packed.text);
    }

    /** Returns how long ago the configuration was confirmed as the newest, in milliseconds. */
    public long ageMs() {
        return mClock.monotonicMs() - mConfirmedAt;
    }

    /**
     * Returns the confirmation that is under way, if there is one.
     *
     * <p>Whoever comes later must not be served by an older configuration than whoever waits for
     * it.
     */
    public Optional<CompletableFuture<Optional<ClusterConfig>>> confirmation() {
        return Optional.ofNullable(mConfirmation);
    }

    /**
     * Confirms the newest configuration, to be asked before a caller is told that something does
     * not exist.
     *
     * @return empty if neither the store nor another daemon answers
     */
    public CompletableFuture<Optional<ClusterConfig>> confirm() {
        if (mConfig != null && ageMs() < FRESH_MS) {
            return CompletableFuture.completedFuture(current());
        }
        CompletableFuture<Optional<ClusterConfig>> confirmed = new CompletableFuture<>();
        mStrand.execute(() -> nextConfirmation().thenAccept(confirmed::complete));
        return confirmed;
    }

    /** Calls that come while a confirmation is under way get the next one. */
    private CompletableFuture<Optional<ClusterConfig>> nextConfirmation() {
        if (mNextConfirmation == null) {
            mNextConfirmation = new CompletableFuture<>();
        }
        CompletableFuture<Optional<ClusterConfig>> next = mNextConfirmation;
        if (mConfirmation == null) {
            startConfirmation();
        }
        return next;
    }

    private void startConfirmation() {
        CompletableFuture<Optional<ClusterConfig>> confirmation = mNextConfirmation;
        mNextConfirmation = null;
        mConfirmation = confirmation;
        long asked = mClock.monotonicMs();
        mStrand.whenComplete(
                changed(),
                (items, e) -> {
                    if (e == null) {
                        items.forEach(i -> adopt(i.value(), "store"));
                        mConfirmedAt = Math.max(mConfirmedAt, asked);
                        endConfirmation(confirmation, current());
                    } else {
                        mStrand.whenComplete(
                                askPeers(),
                                (any, x) ->
                                        endConfirmation(
                                                confirmation, any ? current() : Optional.empty()));
                    }
                });
    }

    private void endConfirmation(
            CompletableFuture<Optional<ClusterConfig>> confirmation,
            Optional<ClusterConfig> config) {
        mConfirmation = null;
        confirmation.complete(config);
        if (mNextConfirmation != null) {
            startConfirmation();
        }
    }

    /** Returns the configuration if it has changed; it may be large, so it is not read anew. */
    private CompletableFuture<List<KeyValue>> changed() {
        if (mRevision == 0) {
            return read();
        }
        return mStore.watch(mCatalog.configKey(), mRevision, 0, CONFIRM_MS)
                .thenApply(
                        changes ->
                                changes.changes().stream()
                                        .map(MetadataStore.Change::keyValue)
                                        .filter(i -> i != null && isConfig(i))
                                        .toList())
                .exceptionallyCompose(
                        e ->
                                StoreException.kindOf(e) == StoreException.Kind.COMPACTED
                                        ? read()
                                        : CompletableFuture.failedFuture(e));
    }

    private CompletableFuture<List<KeyValue>> read() {
        return mStore.read(mCatalog.configKey()).thenApply(item -> item.stream().toList());
    }

    private boolean isConfig(KeyValue item) {
        return item.key().equals(mCatalog.configKey());
    }

    private CompletableFuture<Boolean> askPeers() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        long version = mConfig == null ? -1 : mConfig.version();
        mStrand.whenComplete(
                mPeers.config(version),
                (answers, e) -> {
                    boolean any = e == null && !answers.isEmpty();
                    if (any) {
                        for (Optional<ByteString> newer : answers) {
                            newer.ifPresent(text -> adopt(text, "peer"));
                        }
                    }
                    done.complete(any);
                });
        return done;
    }

    private void adopt(ByteString text, String source) {
        ClusterConfig config;
        try {
            config = mCatalog.parseConfig(text);
        } catch (PlatformSchema.FormatException e) {
            mEvents.record(
                    EventCode.RECORD_UNREADABLE,
                    "",
                    "key=" + mCatalog.configKey() + " reason=\"" + e.getMessage() + '"');
            return;
        }
        ClusterConfig old = mConfig;
        if (old == null || config.version() > old.version()) {
            // The text is set first, so that whoever sees the version finds its text.
            mText = text;
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

    private final class ConfigKey implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<KeyValue> items) {
            items.forEach(this::onPut);
        }

        @Override
        public void onPut(KeyValue item) {
            if (isConfig(item)) {
                adopt(item.value(), "store");
            }
        }

        @Override
        public void onDelete(String key) {
            mEvents.record(EventCode.RECORD_UNREADABLE, "", "key=" + key + " reason=removed");
        }

        @Override
        public void onUpToDate(long revision) {
            mConfirmedAt = mClock.monotonicMs();
            mRevision = revision;
        }

        @Override
        public void onFailure() {
            long now = mClock.monotonicMs();
            if (now - mAskedPeersAt > ASK_PEERS_MS) {
                mAskedPeersAt = now;
                askPeers();
            }
        }
    }
}
