package org.lycheeroad.coordination.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Determines which share of each limit this entry may use.
 *
 * <p>This is the base share, which needs no grant, plus the share granted by the {@link
 * ShareAllocator} while its lease is valid. Times are in milliseconds of the entry's monotonic
 * clock.
 */
public final class ShareClient {
    /**
     * Interval at which {@link #createReport} is to be called; two intervals are short enough for a
     * shift in demand to be detected within one second.
     */
    public static final long REPORT_INTERVAL_MILLIS = 250;

    /** A rate measured over a shorter time is too noisy; its count goes into the next report. */
    private static final long MIN_MEASUREMENT_MILLIS = 200;

    /** Reported demand falls at most to this fraction per report, so that shares survive a gap. */
    private static final double DEMAND_DECAY_FACTOR = 0.7;

    /** Lower demand is left out of reports to keep them small. */
    private static final double MIN_REPORTED_PER_SECOND = 0.01;

    private final long mInstance;
    private final int mConfiguredEntries;
    private final Map<LimitKey, Long> mArrivedSinceMeasurement = new HashMap<>();
    private final Map<LimitKey, Double> mDemandPerSecond = new HashMap<>();

    /** Send times of recent reports by report number. */
    private final TreeMap<Long, Long> mReportSentAtMillis = new TreeMap<>();

    private Map<LimitKey, Double> mLimits = Map.of();
    private ShareGrant mGrant = NO_GRANT;
    private long mGrantExpiresAtMillis;

    /** Grants with a lower token come from an earlier role holder and are rejected. */
    private long mMinToken;

    private long mLastReportNumber;
    private long mLastMeasurementAtMillis;

    /**
     * Creates a client without limits.
     *
     * @param instance distinguishes this process from others that have had the same entry id
     * @param configuredEntries configured number of entries
     */
    public ShareClient(long instance, int configuredEntries, long nowMillis) {
        mInstance = instance;
        mConfiguredEntries = configuredEntries;
        mLastMeasurementAtMillis = nowMillis;
    }

    /** Returns the share of a limit that each entry may use without a grant, per second. */
    public static double baseShare(double limit, int entries) {
        return ShareMath.baseShare(limit, entries);
    }

    /** Sets the limits in requests per second. */
    public void setLimits(Map<LimitKey, Double> limits) {
        mLimits = Map.copyOf(limits);
    }

    /** Rejects grants with a lower token from now on; a grant already applied stays valid. */
    public void rejectTokensBelow(long token) {
        mMinToken = Math.max(mMinToken, token);
    }

    /**
     * Creates the next report for the role holder.
     *
     * <p>A report sent as soon as a grant has been applied lets the role holder reassign the
     * capacity that it freed sooner.
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
     * Applies a grant unless it is superseded, expired, meant for another process or from an
     * earlier role holder.
     *
     * @return whether the grant was applied
     */
    public boolean applyGrant(ShareGrant grant, long nowMillis) {
        if (grant.instance() != mInstance) {
            return false;
        }
        Long reportSentAtMillis = mReportSentAtMillis.get(grant.reportNumber());
        boolean superseded =
                grant.token() < mMinToken
                        || (grant.token() == mGrant.token()
                                && grant.sequence() <= mGrant.sequence());
        if (superseded
                || reportSentAtMillis == null
                || reportSentAtMillis + grant.leaseMillis() <= nowMillis) {
            return false;
        }
        mMinToken = grant.token();
        mGrant = grant;
        mGrantExpiresAtMillis = reportSentAtMillis + grant.leaseMillis();
        return true;
    }

    /** Returns the requests per second that this entry may admit under each limit. */
    public Map<LimitKey, Double> usablePerSecond(long nowMillis) {
        Map<LimitKey, Double> usable = new HashMap<>();
        mLimits.forEach(
                (key, limit) -> {
                    double granted =
                            nowMillis < mGrantExpiresAtMillis
                                    ? mGrant.shares().getOrDefault(key, 0.0)
                                    : 0;
                    usable.put(key, ShareMath.baseShare(limit, mConfiguredEntries) + granted);
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
