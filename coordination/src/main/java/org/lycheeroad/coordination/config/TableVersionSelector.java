package org.lycheeroad.coordination.config;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.state.id.EntryId;

/**
 * Selects the version of the operators' table that is active at this entry.
 *
 * <p>Versions arrive from the store and from peers in any order; only a greater version replaces
 * the active one. Times are in milliseconds of a monotonic clock.
 */
public final class TableVersionSelector {
    /**
     * Time after the first peer's report within which the other peers report their versions too:
     * more than two heartbeat intervals.
     */
    static final long PEER_DISCOVERY_MILLIS = 1_200;

    /** After a longer gap between two events, versions may have been missed. */
    static final long MAX_PAUSE_MILLIS = 1_000;

    private static final long FETCH_RETRY_MILLIS = 500;

    /** A peer's reported version is dropped if the peer has not repeated it for this long. */
    private static final long PEER_EXPIRY_MILLIS = 10_000;

    private record PeerVersion(long version, long reportedAtMillis) {}

    private final Map<EntryId, PeerVersion> mPeerVersions = new HashMap<>();
    private final Map<EntryId, Long> mLastFetchAtMillis = new HashMap<>();
    private long mVersion;
    private String mCsv = "";

    /** Whether the store or the peers have reported their versions since the last pause. */
    private boolean mUpToDate;

    private long mFirstPeerReportAtMillis = Long.MAX_VALUE;
    private long mNextFetchAtMillis;
    private long mLastEventAtMillis;

    /** Creates a selector without an active version. */
    public TableVersionSelector(long nowMillis) {
        mLastEventAtMillis = nowMillis;
    }

    /** Handles one event and returns the resulting actions in the order to perform them. */
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
        Optional<EntryId> peerAhead = peerToFetchFrom();
        if (peerAhead.isPresent() && nowMillis >= mNextFetchAtMillis) {
            mNextFetchAtMillis = nowMillis + FETCH_RETRY_MILLIS;
            mLastFetchAtMillis.put(peerAhead.get(), nowMillis);
            actions.add(new TableAction.FetchFromPeer(peerAhead.get(), mVersion));
        }
        return actions;
    }

    /** Returns the active version, or 0 if there is none. */
    public long version() {
        return mVersion;
    }

    /** Returns the CSV text of the active version, or an empty string if there is none. */
    public String csv() {
        return mCsv;
    }

    /** Returns whether a version is active and no newer one is known or may have been missed. */
    public boolean isReady() {
        return mVersion > 0 && mUpToDate && peerToFetchFrom().isEmpty();
    }

    /**
     * Returns the peer to fetch a newer version from.
     *
     * <p>A peer that a fetch was sent to and that is still ahead has not answered, so the peer with
     * the oldest fetch or none is preferred, then the one with the newest version.
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
