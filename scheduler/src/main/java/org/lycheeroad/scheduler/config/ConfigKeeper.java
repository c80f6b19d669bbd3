package org.lycheeroad.scheduler.config;

import com.google.protobuf.ByteString;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.scheduler.PrefixWatch;
import org.lycheeroad.scheduler.Strand;
import org.lycheeroad.scheduler.log.Events;
import org.lycheeroad.scheduler.peer.PeerClient;
import org.lycheeroad.scheduler.port.Catalog;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.Item;
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

    /** A configuration confirmed more recently than this is taken as the newest. */
    private static final long FRESH_MS = 50;

    private final MetadataStore mStore;
    private final Strand mStrand;
    private final Catalog mCatalog;
    private final PeerClient mPeers;
    private final Clock mClock;
    private final Events mEvents;
    private final PrefixWatch mWatch;
    private volatile ClusterConfig mConfig;
    private volatile ByteString mText = ByteString.EMPTY;
    private volatile long mConfirmedAt = Long.MIN_VALUE / 2;
    private long mAskedPeersAt = Long.MIN_VALUE / 2;

    public ConfigKeeper(
            MetadataStore store,
            Strand strand,
            Catalog catalog,
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

    /** Returns the newest configuration in the operators' own form. */
    public ByteString text() {
        return mText;
    }

    /** Returns how long ago the configuration was confirmed as the newest, in milliseconds. */
    public long ageMs() {
        return mClock.steadyMs() - mConfirmedAt;
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
        long asked = mClock.steadyMs();
        mStrand.whenDone(
                mStore.read(mCatalog.configKey()),
                (item, e) -> {
                    if (e == null) {
                        item.ifPresent(i -> adopt(i.value(), "store"));
                        mConfirmedAt = asked;
                        confirmed.complete(current());
                    } else {
                        askPeers()
                                .thenAccept(
                                        any ->
                                                confirmed.complete(
                                                        any ? current() : Optional.empty()));
                    }
                });
        return confirmed;
    }

    private CompletableFuture<Boolean> askPeers() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        mStrand.whenDone(
                mPeers.config(),
                (texts, e) -> {
                    boolean any = e == null && !texts.isEmpty();
                    if (any) {
                        texts.forEach(text -> adopt(text, "peer"));
                    }
                    done.complete(any);
                });
        return done;
    }

    private void adopt(ByteString text, String source) {
        ClusterConfig config;
        try {
            config = mCatalog.readConfig(text);
        } catch (Catalog.FormatException e) {
            mEvents.record(
                    EventCode.RECORD_UNREADABLE,
                    "",
                    "key=" + mCatalog.configKey() + " reason=\"" + e.getMessage() + '"');
            return;
        }
        ClusterConfig old = mConfig;
        if (old == null || config.version() > old.version()) {
            mConfig = config;
            mText = text;
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
        public void onSnapshot(List<Item> items) {
            items.forEach(this::onItem);
        }

        @Override
        public void onItem(Item item) {
            if (item.key().equals(mCatalog.configKey())) {
                adopt(item.value(), "store");
            }
        }

        @Override
        public void onRemoved(String key) {
            mEvents.record(EventCode.RECORD_UNREADABLE, "", "key=" + key + " reason=removed");
        }

        @Override
        public void onCurrent() {
            mConfirmedAt = mClock.steadyMs();
        }

        @Override
        public void onFailure() {
            long now = mClock.steadyMs();
            if (now - mAskedPeersAt > ASK_PEERS_MS) {
                mAskedPeersAt = now;
                askPeers();
            }
        }
    }
}
