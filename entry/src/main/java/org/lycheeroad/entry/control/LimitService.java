package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.lycheeroad.coordination.limits.DemandReport;
import org.lycheeroad.coordination.limits.InterRegionLinkLimit;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.ShareAllocator;
import org.lycheeroad.coordination.limits.ShareClient;
import org.lycheeroad.coordination.limits.ShareGrant;
import org.lycheeroad.coordination.limits.TableLimits;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.table.OperatorTable;

/**
 * Applies this entry's shares of the rate limits and, as holder of the limits role, allocates them.
 *
 * <p>Runs on the control thread except {@link #setDemand}.
 */
final class LimitService {
    /** Sends demand reports and share grants to peers. */
    interface Sender {
        /** Sends a demand report to the holder of the role {@code limits}. */
        void send(EntryId holder, DemandReport report);

        /** Sends a share grant to an entry. */
        void send(EntryId entry, ShareGrant grant);
    }

    private final EntryId mLocalEntry;
    private final int mEntryCount;
    private final Sender mSender;
    private final BiConsumer<LimitKey, Double> mShareListener;
    private final ShareClient mShareClient;
    private final Map<LimitKey, Double> mReportedShares = new HashMap<>();
    private final Map<LimitKey, Double> mFractionalRequests = new HashMap<>();
    private volatile Map<LimitKey, Double> mDemandPerSecond = Map.of();
    private Optional<ShareAllocator> mShareAllocator = Optional.empty();
    private final double mLinkBytesPerSecond;
    private Map<LimitKey, Double> mLimits = Map.of();
    private long mNextReportAtMillis;
    private long mLastReportAtMillis;

    LimitService(
            ControlSettings settings, Sender sender, BiConsumer<LimitKey, Double> shareListener) {
        mLocalEntry = settings.entry();
        mEntryCount = settings.entryCount();
        mLinkBytesPerSecond = settings.linkBytesPerSecond();
        mSender = sender;
        mShareListener = shareListener;
        mLastReportAtMillis = ControlLoop.nowMillis();
        mShareClient = new ShareClient(settings.instance(), mEntryCount, mLastReportAtMillis);
    }

    /** Sets the demand in requests per second; may be called on any thread. */
    void setDemand(Map<LimitKey, Double> demandPerSecond) {
        mDemandPerSecond = Map.copyOf(demandPerSecond);
    }

    void onTableChanged(OperatorTable table) {
        Map<LimitKey, Double> limits = TableLimits.of(table);
        limits.put(InterRegionLinkLimit.KEY, mLinkBytesPerSecond);
        mLimits = limits;
        mShareClient.setLimits(mLimits);
        mShareAllocator.ifPresent(allocator -> allocator.setLimits(mLimits));
        reportChangedShares(ControlLoop.nowMillis());
    }

    void onRoleGained(long token) {
        ShareAllocator allocator = new ShareAllocator(token, mEntryCount, ControlLoop.nowMillis());
        allocator.setLimits(mLimits);
        mShareAllocator = Optional.of(allocator);
        mShareClient.rejectTokensBelow(token);
    }

    void onRoleLost() {
        mShareAllocator = Optional.empty();
    }

    void onTokenObserved(long token) {
        mShareClient.rejectTokensBelow(token);
    }

    void onDemandReport(EntryId from, DemandReport report) {
        mShareAllocator.ifPresent(
                allocator -> allocator.onReport(from, report, ControlLoop.nowMillis()));
    }

    void onShareGrant(ShareGrant grant) {
        long nowMillis = ControlLoop.nowMillis();
        if (mShareClient.applyGrant(grant, nowMillis)) {
            reportChangedShares(nowMillis);
        }
    }

    /** Reports the demand to the role's holder, or allocates shares if this entry is the holder. */
    void tick(Optional<EntryId> holder, long nowMillis) {
        reportChangedShares(nowMillis);
        if (nowMillis < mNextReportAtMillis) {
            return;
        }
        mNextReportAtMillis = nowMillis + ShareAllocator.INTERVAL_MILLIS;
        DemandReport report = mShareClient.createReport(takeArrivedRequests(nowMillis), nowMillis);
        if (mShareAllocator.isPresent()) {
            mShareAllocator.get().onReport(mLocalEntry, report, nowMillis);
            mShareAllocator.get().allocate(nowMillis).forEach(this::deliverGrant);
        } else {
            holder.filter(entry -> !entry.equals(mLocalEntry))
                    .ifPresent(entry -> mSender.send(entry, report));
        }
    }

    private void deliverGrant(EntryId entry, ShareGrant grant) {
        if (entry.equals(mLocalEntry)) {
            onShareGrant(grant);
        } else {
            mSender.send(entry, grant);
        }
    }

    /**
     * Converts the demand rates to whole requests and carries the fractions over to the next call.
     */
    private Map<LimitKey, Long> takeArrivedRequests(long nowMillis) {
        double seconds = (nowMillis - mLastReportAtMillis) / 1e3;
        mLastReportAtMillis = nowMillis;
        Map<LimitKey, Long> arrivedRequests = new HashMap<>();
        mDemandPerSecond.forEach(
                (key, rate) -> {
                    double count = mFractionalRequests.getOrDefault(key, 0.0) + rate * seconds;
                    arrivedRequests.put(key, (long) count);
                    mFractionalRequests.put(key, count - (long) count);
                });
        return arrivedRequests;
    }

    private void reportChangedShares(long nowMillis) {
        Map<LimitKey, Double> usableRates = mShareClient.usablePerSecond(nowMillis);
        usableRates.forEach(
                (key, rate) -> {
                    if (!rate.equals(mReportedShares.put(key, rate))) {
                        mShareListener.accept(key, rate);
                    }
                });
        mReportedShares
                .keySet()
                .removeIf(
                        key -> {
                            boolean unlimited = !usableRates.containsKey(key);
                            if (unlimited) {
                                mShareListener.accept(key, Double.POSITIVE_INFINITY);
                            }
                            return unlimited;
                        });
    }
}
