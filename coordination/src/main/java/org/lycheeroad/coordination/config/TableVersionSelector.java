package org.lycheeroad.coordination.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.state.id.EntryId;

/**
 * Decides which version of the operators' table is in force at one entry.
 *
 * <p>A version comes from the store or from a peer, in any order, and only a greater one replaces
 * the one in force. Times are in milliseconds of a monotonic clock.
 */
public final class TableVersionSelector {
    /** Two heartbeats: the peers of an entry that starts have told their versions by then. */
    static final long PEER_DISCOVERY_MILLIS = 1_200;

    /** A longer gap between two ticks means that versions may have been missed. */
    static final long MAX_PAUSE_MILLIS = 1_000;

    private static final long FETCH_RETRY_MILLIS = 500;
    private static final long PEER_EXPIRY_MILLIS = 10_000;

    private record PeerVersion(long version, long reportedAtMillis) {}

    private final Map<EntryId, PeerVersion> mPeerVersions = new HashMap<>();
    private final Map<EntryId, Long> mLastFetchAtMillis = new HashMap<>();
    private long mVersion;
    private String mCsv = "";
    private boolean mUpToDate;
    private long mFirstPeerReportAtMillis = Long.MAX_VALUE;
    private long mNextFetchAtMillis;
    private long mLastEventAtMillis;

    public TableVersionSelector(long nowMillis) {
        mLastEventAtMillis = nowMillis;
    }

    /** Handles one event and returns what to do, in order. */
    public List<TableAction> handle(TableEvent event, long nowMillis) {
        List<TableAction> actions = new ArrayList<>();
        if (nowMillis - mLastEventAtMillis > MAX_PAUSE_MILLIS) {
            mUpToDate = false;
            mFirstPeerReportAtMillis = Long.MAX_VALUE;
        }
        mLastEventAtMillis = nowMillis;
        if (event instanceof TableEvent.VersionReceived e) {
            if (e.version() > mVersion) {
                mVersion = e.version();
                mCsv = e.csv();
                actions.add(new TableAction.Apply(mVersion, mCsv));
            }
        } else if (event instanceof TableEvent.StoreSynced) {
            mUpToDate = true;
        } else if (event instanceof TableEvent.PeerVersionReported e) {
            mPeerVersions.put(e.peer(), new PeerVersion(e.version(), nowMillis));
            mFirstPeerReportAtMillis = Math.min(mFirstPeerReportAtMillis, nowMillis);
        }
        mPeerVersions.values().removeIf(p -> nowMillis - p.reportedAtMillis() > PEER_EXPIRY_MILLIS);
        if (!mUpToDate && mFirstPeerReportAtMillis != Long.MAX_VALUE) {
            mUpToDate = nowMillis - mFirstPeerReportAtMillis >= PEER_DISCOVERY_MILLIS;
        }
        mLastFetchAtMillis.keySet().retainAll(mPeerVersions.keySet());
        Optional<EntryId> ahead = peerToFetchFrom();
        if (ahead.isPresent() && nowMillis >= mNextFetchAtMillis) {
            mNextFetchAtMillis = nowMillis + FETCH_RETRY_MILLIS;
            mLastFetchAtMillis.put(ahead.get(), nowMillis);
            actions.add(new TableAction.FetchFromPeer(ahead.get(), mVersion));
        }
        return actions;
    }

    /** Returns the version in force, or 0. */
    public long version() {
        return mVersion;
    }

    /** Returns the CSV text of the version in force, or an empty text. */
    public String csv() {
        return mCsv;
    }

    /** Returns whether a version is in force and no newer one is known or may have been missed. */
    public boolean isReady() {
        return mVersion > 0 && mUpToDate && peerToFetchFrom().isEmpty();
    }

    /**
     * Returns the peer to ask for a newer version. A peer that was asked and is still ahead has not
     * answered, so that the others come first; among equals, the newest version does.
     */
    private Optional<EntryId> peerToFetchFrom() {
        return mPeerVersions.entrySet().stream()
                .filter(peer -> peer.getValue().version() > mVersion)
                .min(
                        Comparator.comparingLong(this::lastFetchAtMillis)
                                .thenComparingLong(peer -> -peer.getValue().version())
                                .thenComparing(Map.Entry::getKey))
                .map(Map.Entry::getKey);
    }

    private long lastFetchAtMillis(Map.Entry<EntryId, PeerVersion> peer) {
        return mLastFetchAtMillis.getOrDefault(peer.getKey(), Long.MIN_VALUE);
    }
}
