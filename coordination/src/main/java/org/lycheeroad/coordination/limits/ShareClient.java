package org.lycheeroad.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tells one entry which part of each limit it may use now.
 *
 * <p>That is the floor, which needs nobody's consent, and the lease, while it lasts. All times are
 * monotonic milliseconds of the entry.
 */
public final class ShareClient {
    /**
     * Interval at which {@link #createReport} is to be called; two make a swing seen in a second.
     */
    public static final long REPORT_INTERVAL_MILLIS = 250;

    /** Demand counted over less than this is too noisy, so it is added to the next report. */
    private static final long MIN_MEASUREMENT_MILLIS = 200;

    /** Demand falls by this factor per report, so that a short gap does not give up the share. */
    private static final double DEMAND_DECAY_FACTOR = 0.7;

    /** Demand below this is dropped from reports to keep them small. */
    private static final double MIN_REPORTED_PER_SECOND = 0.01;

    private final long mInstance;
    private final int mConfiguredEntries;
    private final Map<LimitKey, Long> mArrivedSinceMeasurement = new HashMap<>();
    private final Map<LimitKey, Double> mDemandPerSecond = new HashMap<>();
    private final TreeMap<Long, Long> mReportSentAtMillis = new TreeMap<>();
    private Map<LimitKey, Double> mLimits = Map.of();
    private ShareGrant mGrant = NO_GRANT;
    private long mGrantExpiresAtMillis;
    private long mMinToken;
    private long mLastReportNumber;
    private long mLastMeasurementAtMillis;

    /**
     * Creates a holder without limits.
     *
     * @param instance distinguishes this process from others that have had the same entry id
     * @param entries configured number of entries
     */
    public ShareClient(long instance, int entries, long nowMillis) {
        mInstance = instance;
        mConfiguredEntries = entries;
        mLastMeasurementAtMillis = nowMillis;
    }

    /** Returns the part of a limit that each entry can always use, in requests per second. */
    public static double baseShare(double limit, int entries) {
        return ShareMath.baseShare(limit, entries);
    }

    /** Sets the limits in requests per second. */
    public void setLimits(Map<LimitKey, Double> limits) {
        mLimits = Map.copyOf(limits);
    }

    /** Refuses grants of earlier role holders from now on; a lease in force runs to its end. */
    public void rejectTokensBelow(long token) {
        mMinToken = Math.max(mMinToken, token);
    }

    /**
     * Makes the next report for the role holder.
     *
     * <p>A report right after a grant was applied lets the role holder move the share on sooner.
     *
     * @param arrived requests that callers sent since the last report, whether admitted or not
     */
    public DemandReport createReport(Map<LimitKey, Long> arrived, long nowMillis) {
        arrived.forEach((key, count) -> mArrivedSinceMeasurement.merge(key, count, Long::sum));
        if (nowMillis - mLastMeasurementAtMillis >= MIN_MEASUREMENT_MILLIS) {
            updateDemand((nowMillis - mLastMeasurementAtMillis) / 1e3);
            mLastMeasurementAtMillis = nowMillis;
        }
        mLastReportNumber++;
        mReportSentAtMillis.put(mLastReportNumber, nowMillis);
        mReportSentAtMillis.values().removeIf(sent -> nowMillis - sent > ShareMath.LEASE_MILLIS);
        return new DemandReport(
                mInstance, mLastReportNumber, mGrant.token(), mGrant.sequence(), mDemandPerSecond);
    }

    /**
     * Applies a grant unless it is overtaken, expired or from an earlier role holder.
     *
     * @return whether it is in force now
     */
    public boolean applyGrant(ShareGrant grant, long nowMillis) {
        if (grant.instance() != mInstance) {
            return false;
        }
        Long reported = mReportSentAtMillis.get(grant.reportNumber());
        boolean overtaken =
                grant.token() < mMinToken
                        || (grant.token() == mGrant.token()
                                && grant.sequence() <= mGrant.sequence());
        if (overtaken || reported == null || reported + grant.leaseMillis() <= nowMillis) {
            return false;
        }
        mMinToken = grant.token();
        mGrant = grant;
        mGrantExpiresAtMillis = reported + grant.leaseMillis();
        return true;
    }

    /** Returns the requests per second that this entry may admit, for every limit. */
    public Map<LimitKey, Double> usablePerSecond(long nowMillis) {
        Map<LimitKey, Double> usable = new HashMap<>();
        mLimits.forEach(
                (key, limit) -> {
                    double leased =
                            nowMillis < mGrantExpiresAtMillis
                                    ? mGrant.shares().getOrDefault(key, 0.0)
                                    : 0;
                    usable.put(key, ShareMath.baseShare(limit, mConfiguredEntries) + leased);
                });
        return usable;
    }

    private void updateDemand(double seconds) {
        mDemandPerSecond.replaceAll((key, demand) -> demand * DEMAND_DECAY_FACTOR);
        mArrivedSinceMeasurement.forEach(
                (key, count) -> mDemandPerSecond.merge(key, count / seconds, Math::max));
        mArrivedSinceMeasurement.clear();
        mDemandPerSecond.values().removeIf(demand -> demand < MIN_REPORTED_PER_SECOND);
        mDemandPerSecond.keySet().retainAll(mLimits.keySet());
    }

    private static final ShareGrant NO_GRANT = new ShareGrant(0, 0, 0, 0, 0, Map.of());
}
