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
 * Leases the shared half of each limit to the entries according to their demand.
 *
 * <p>It runs on the holder of the role {@code limits}. A grant may be lost or late, so for each
 * entry the largest of its unexpired grants counts as in use until the entry reports that it has
 * applied a later one. All times are monotonic milliseconds of the holder.
 */
public final class ShareAllocator {
    /** Interval at which {@link #allocate} is to be called. */
    public static final long INTERVAL_MILLIS = 250;

    /** A report older than this says nothing of the demand now: two reports were lost. */
    private static final long REPORT_VALID_MILLIS = 1_500;

    private static final long ENTRY_EXPIRY_MILLIS = 10_000;

    /** Room for demand to grow until the next grant. */
    private static final double DEMAND_HEADROOM_FACTOR = 1.25;

    /**
     * Part of what nobody asked for that is leased out in advance. The rest stays free, so that it
     * can be leased at once to the entry where a swing lands, without first taking it from others.
     */
    private static final double PREALLOCATED_FRACTION = 0.5;

    private final long mToken;
    private final int mConfiguredEntries;
    private final long mStartedAtMillis;
    private final Map<EntryId, Client> mClients = new TreeMap<>();
    private final List<Client> mReplacedClients = new ArrayList<>();
    private Map<LimitKey, Double> mLimits = Map.of();
    private long mLastSequence;

    /**
     * Starts a term as role holder. It hands out nothing for one lease, as the leases of the holder
     * before may still be in force.
     *
     * @param token fencing token of this term
     * @param entries configured number of entries
     */
    public ShareAllocator(long token, int entries, long nowMillis) {
        mToken = token;
        mConfiguredEntries = entries;
        mStartedAtMillis = nowMillis;
    }

    /** Sets the limits in requests per second. */
    public void setLimits(Map<LimitKey, Double> limits) {
        mLimits = Map.copyOf(limits);
    }

    /** Takes in a report; reports that were overtaken by a newer one are ignored. */
    public void onReport(EntryId entry, DemandReport report, long nowMillis) {
        Client client = mClients.get(entry);
        if (client == null || client.mLastReport.instance() != report.instance()) {
            // The process before may live on for a while, so its leases count on their own.
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

    /** Returns the grants to send now to the entries that reported lately. */
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
        // Entries that want more share what is free; what others give up follows once they
        // report that they have applied their smaller grant.
        double[] missing = new double[entries.size()];
        for (int i = 0; i < missing.length; i++) {
            missing[i] = Math.max(0, fair[i] - live.get(entries.get(i)).inUsePerSecond(key));
        }
        double[] added = ShareMath.maxMinFair(Math.max(0, free), missing);
        for (int i = 0; i < missing.length; i++) {
            double inUse = live.get(entries.get(i)).inUsePerSecond(key);
            double share = Math.min(fair[i], inUse + added[i]);
            if (share > 0) {
                shares.get(entries.get(i)).put(key, share);
            }
        }
    }

    private double[] fairShares(
            LimitKey key,
            double pool,
            double limit,
            List<EntryId> entries,
            Map<EntryId, Client> live) {
        double floor = ShareMath.baseShare(limit, mConfiguredEntries);
        double[] wanted = new double[entries.size()];
        for (int i = 0; i < wanted.length; i++) {
            double demand =
                    live.get(entries.get(i)).mLastReport.demandPerSecond().getOrDefault(key, 0.0);
            wanted[i] = Math.max(0, demand * DEMAND_HEADROOM_FACTOR - floor);
        }
        double[] fair = ShareMath.maxMinFair(pool, wanted);
        double rest = pool;
        for (double share : fair) {
            rest -= share;
        }
        for (int i = 0; i < fair.length; i++) {
            fair[i] += Math.max(0, rest) * PREALLOCATED_FRACTION / fair.length;
        }
        return fair;
    }

    /** A grant and the time at which it has expired at its entry for certain. */
    private record Lease(ShareGrant grant, long expiresAtMillis) {}

    /** What the holder knows of one process of an entry. */
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

        double inUsePerSecond(LimitKey key) {
            double largest = 0;
            for (Lease lease : mLeases) {
                largest = Math.max(largest, lease.grant().shares().getOrDefault(key, 0.0));
            }
            return largest;
        }
    }
}
