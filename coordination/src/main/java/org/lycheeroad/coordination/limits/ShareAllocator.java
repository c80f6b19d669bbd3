package org.lycheeroad.coordination.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lycheeroad.state.id.EntryId;

/**
 * Leases the shared pool of each limit to the entries according to their demand.
 *
 * <p>Runs in the holder of the role {@code limits}. As a grant may be lost or delayed, the largest
 * unexpired grant of an entry counts as in use until the entry reports that it has applied a later
 * one. Times are in milliseconds of the holder's monotonic clock.
 */
public final class ShareAllocator {
    /** Interval at which {@link #allocate} is to be called. */
    public static final long INTERVAL_MILLIS = 250;

    /** An older report no longer shows the current demand, as at least two reports were lost. */
    private static final long REPORT_VALID_MILLIS = 1_500;

    /** An entry without leases is removed after this time without a report. */
    private static final long ENTRY_EXPIRY_MILLIS = 10_000;

    /** Leaves room for demand to grow until the next grant. */
    private static final double DEMAND_HEADROOM_FACTOR = 1.25;

    /**
     * Fraction of the unrequested capacity that is leased out in advance. The rest stays free, so
     * that it can be leased at once to an entry whose demand rises, without first reclaiming it
     * from others.
     */
    private static final double PREALLOCATED_FRACTION = 0.5;

    private final long mToken;
    private final int mConfiguredEntries;
    private final long mStartedAtMillis;
    private final Map<EntryId, Client> mClients = new TreeMap<>();

    /** Earlier processes of entries whose leases may not have expired yet. */
    private final List<Client> mReplacedClients = new ArrayList<>();

    private Map<LimitKey, Double> mLimits = Map.of();
    private long mLastSequence;

    /**
     * Starts a term as role holder. It grants nothing for the duration of a lease, as leases
     * granted by the previous holder may still be valid.
     *
     * @param token fencing token of this term
     * @param configuredEntries configured number of entries
     */
    public ShareAllocator(long token, int configuredEntries, long nowMillis) {
        mToken = token;
        mConfiguredEntries = configuredEntries;
        mStartedAtMillis = nowMillis;
    }

    /** Sets the limits in requests per second. */
    public void setLimits(Map<LimitKey, Double> limits) {
        mLimits = Map.copyOf(limits);
    }

    /** Handles a demand report; a report older than one already received is ignored. */
    public void onReport(EntryId entry, DemandReport report, long nowMillis) {
        Client client = mClients.get(entry);
        if (client == null || client.mLastReport.instance() != report.instance()) {
            // The previous process may still be running, so its leases are counted separately.
            if (client != null) {
                mReplacedClients.add(client);
            }
            client = new Client();
            mClients.put(entry, client);
        } else if (report.reportNumber() <= client.mLastReport.reportNumber()) {
            return;
        }
        client.mLastReport = report;
        client.mLastReportAtMillis = nowMillis;
        if (report.token() == mToken) {
            client.mLeases.removeIf(l -> l.grant().sequence() < report.appliedSequence());
        }
    }

    /** Returns the grants to send to the entries that have reported recently. */
    public Map<EntryId, ShareGrant> allocate(long nowMillis) {
        mClients.values().forEach(c -> c.dropExpired(nowMillis));
        mReplacedClients.forEach(c -> c.dropExpired(nowMillis));
        mReplacedClients.removeIf(c -> c.mLeases.isEmpty());
        mClients.values()
                .removeIf(
                        c ->
                                c.mLeases.isEmpty()
                                        && c.millisSinceReport(nowMillis) > ENTRY_EXPIRY_MILLIS);
        if (nowMillis - mStartedAtMillis < ShareMath.LEASE_MILLIS) {
            return Map.of();
        }
        Map<EntryId, Client> live = new TreeMap<>(mClients);
        live.values().removeIf(c -> c.millisSinceReport(nowMillis) > REPORT_VALID_MILLIS);
        Map<EntryId, Map<LimitKey, Double>> shares = new TreeMap<>();
        live.keySet().forEach(e -> shares.put(e, new HashMap<>()));
        mLimits.forEach((key, limit) -> allocateLimit(key, limit, live, shares));
        Map<EntryId, ShareGrant> grants = new TreeMap<>();
        shares.forEach(
                (entry, share) -> {
                    Client client = live.get(entry);
                    ShareGrant grant =
                            new ShareGrant(
                                    mToken,
                                    ++mLastSequence,
                                    client.mLastReport.instance(),
                                    client.mLastReport.reportNumber(),
                                    ShareMath.LEASE_MILLIS,
                                    share);
                    client.mLeases.addLast(new Lease(grant, nowMillis + ShareMath.LEASE_MILLIS));
                    grants.put(entry, grant);
                });
        return grants;
    }

    /** Adds each live entry's share of one limit to {@code shares}. */
    private void allocateLimit(
            LimitKey key,
            double limit,
            Map<EntryId, Client> live,
            Map<EntryId, Map<LimitKey, Double>> shares) {
        double pool = ShareMath.leasedPool(limit);
        double free = pool;
        for (Client client : mClients.values()) {
            free -= client.inUsePerSecond(key);
        }
        for (Client client : mReplacedClients) {
            free -= client.inUsePerSecond(key);
        }
        List<EntryId> entries = new ArrayList<>(live.keySet());
        double[] fair = fairShares(key, pool, limit, entries, live);
        // Entries below their fair share divide the free capacity. Capacity that other entries have
        // to give up becomes free once they report that they have applied a smaller grant.
        double[] shortfall = new double[entries.size()];
        for (int i = 0; i < shortfall.length; i++) {
            shortfall[i] = Math.max(0, fair[i] - live.get(entries.get(i)).inUsePerSecond(key));
        }
        double[] added = ShareMath.maxMinFair(Math.max(0, free), shortfall);
        for (int i = 0; i < shortfall.length; i++) {
            double inUsePerSecond = live.get(entries.get(i)).inUsePerSecond(key);
            double share = Math.min(fair[i], inUsePerSecond + added[i]);
            if (share > 0) {
                shares.get(entries.get(i)).put(key, share);
            }
        }
    }

    /** Returns the shares that the entries would have if no capacity were in use already. */
    private double[] fairShares(
            LimitKey key,
            double pool,
            double limit,
            List<EntryId> entries,
            Map<EntryId, Client> live) {
        double baseShare = ShareMath.baseShare(limit, mConfiguredEntries);
        double[] wanted = new double[entries.size()];
        for (int i = 0; i < wanted.length; i++) {
            double demand =
                    live.get(entries.get(i)).mLastReport.demandPerSecond().getOrDefault(key, 0.0);
            wanted[i] = Math.max(0, demand * DEMAND_HEADROOM_FACTOR - baseShare);
        }
        double[] fair = ShareMath.maxMinFair(pool, wanted);
        double remaining = pool;
        for (double share : fair) {
            remaining -= share;
        }
        for (int i = 0; i < fair.length; i++) {
            fair[i] += Math.max(0, remaining) * PREALLOCATED_FRACTION / fair.length;
        }
        return fair;
    }

    /** A grant and the time by which it has certainly expired at its entry. */
    private record Lease(ShareGrant grant, long expiresAtMillis) {}

    /** State of one process of an entry. */
    private static final class Client {
        DemandReport mLastReport;
        long mLastReportAtMillis;
        final Deque<Lease> mLeases = new ArrayDeque<>();

        void dropExpired(long nowMillis) {
            mLeases.removeIf(l -> l.expiresAtMillis() <= nowMillis);
        }

        long millisSinceReport(long nowMillis) {
            return nowMillis - mLastReportAtMillis;
        }

        /** Returns the largest share that an unexpired grant allows the process to use. */
        double inUsePerSecond(LimitKey key) {
            double largest = 0;
            for (Lease lease : mLeases) {
                largest = Math.max(largest, lease.grant().shares().getOrDefault(key, 0.0));
            }
            return largest;
        }
    }
}
