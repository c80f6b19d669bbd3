package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.lycheeroad.coordination.limits.DemandReport;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.LinkLimit;
import org.lycheeroad.coordination.limits.ShareAllocator;
import org.lycheeroad.coordination.limits.ShareGrant;
import org.lycheeroad.coordination.limits.ShareHolder;
import org.lycheeroad.coordination.limits.TableLimits;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.table.OperatorTable;

/** Hands out and uses the shares of the limits; runs on the control thread. */
final class LimitService {
    /** Sends reports and grants to peers. */
    interface Sender {
        /** Sends a report to the holder of the role {@code limits}. */
        void send(EntryId holder, DemandReport report);

        /** Sends a grant. */
        void send(EntryId entry, ShareGrant grant);
    }

    private final EntryId mLocalEntry;
    private final int mEntryCount;
    private final Sender mSender;
    private final BiConsumer<LimitKey, Double> mShareListener;
    private final ShareHolder mShareClient;
    private final Map<LimitKey, Double> mReportedShares = new HashMap<>();
    private final Map<LimitKey, Double> mFractionalRequests = new HashMap<>();
    private volatile Map<LimitKey, Double> mDemandPerSecond = Map.of();
    private Optional<ShareAllocator> mAllocator = Optional.empty();
    private final double mLinkBytesPerSecond;
    private Map<LimitKey, Double> mLimits = Map.of();
    private long mNextReportAtMillis;
    private long mLastReportAtMillis;

    LimitService(ControlSettings settings, Sender sender, BiConsumer<LimitKey, Double> onShare) {
        mLocalEntry = settings.entry();
        mEntryCount = settings.entryCount();
        mLinkBytesPerSecond = settings.linkBytesPerSecond();
        mSender = sender;
        mShareListener = onShare;
        mLastReportAtMillis = ControlLoop.nowMillis();
        mShareClient = new ShareHolder(settings.instance(), mEntryCount, mLastReportAtMillis);
    }

    /** Sets the demand in requests per second; may be called by any thread. */
    void setDemand(Map<LimitKey, Double> demandPerSecond) {
        mDemandPerSecond = Map.copyOf(demandPerSecond);
    }

    void onTableChanged(OperatorTable table) {
        Map<LimitKey, Double> limits = TableLimits.of(table);
        limits.put(LinkLimit.KEY, mLinkBytesPerSecond);
        mLimits = limits;
        mShareClient.limitsChanged(mLimits);
        mAllocator.ifPresent(a -> a.limitsChanged(mLimits));
        reportChangedShares(ControlLoop.nowMillis());
    }

    void onRoleGained(long token) {
        ShareAllocator allocator = new ShareAllocator(token, mEntryCount, ControlLoop.nowMillis());
        allocator.limitsChanged(mLimits);
        mAllocator = Optional.of(allocator);
        mShareClient.tokenSeen(token);
    }

    void onRoleLost() {
        mAllocator = Optional.empty();
    }

    void onTokenObserved(long token) {
        mShareClient.tokenSeen(token);
    }

    void onDemandReport(EntryId from, DemandReport report) {
        mAllocator.ifPresent(a -> a.reported(from, report, ControlLoop.nowMillis()));
    }

    void onShareGrant(ShareGrant grant) {
        long now = ControlLoop.nowMillis();
        if (mShareClient.granted(grant, now)) {
            reportChangedShares(now);
        }
    }

    /** Reports demand to the holder and hands out shares as the holder. */
    void tick(Optional<EntryId> holder, long now) {
        reportChangedShares(now);
        if (now < mNextReportAtMillis) {
            return;
        }
        mNextReportAtMillis = now + ShareAllocator.INTERVAL_MILLIS;
        DemandReport report = mShareClient.report(takeArrivedRequests(now), now);
        if (mAllocator.isPresent()) {
            mAllocator.get().reported(mLocalEntry, report, now);
            mAllocator.get().allocate(now).forEach(this::deliverGrant);
        } else {
            holder.filter(h -> !h.equals(mLocalEntry)).ifPresent(h -> mSender.send(h, report));
        }
    }

    private void deliverGrant(EntryId entry, ShareGrant grant) {
        if (entry.equals(mLocalEntry)) {
            onShareGrant(grant);
        } else {
            mSender.send(entry, grant);
        }
    }

    /** Converts the published rates to whole requests and keeps the fractions for the next time. */
    private Map<LimitKey, Long> takeArrivedRequests(long now) {
        double seconds = (now - mLastReportAtMillis) / 1e3;
        mLastReportAtMillis = now;
        Map<LimitKey, Long> arrived = new HashMap<>();
        mDemandPerSecond.forEach(
                (key, rate) -> {
                    double count = mFractionalRequests.getOrDefault(key, 0.0) + rate * seconds;
                    arrived.put(key, (long) count);
                    mFractionalRequests.put(key, count - (long) count);
                });
        return arrived;
    }

    private void reportChangedShares(long now) {
        Map<LimitKey, Double> usable = mShareClient.usable(now);
        usable.forEach(
                (key, rate) -> {
                    if (!rate.equals(mReportedShares.put(key, rate))) {
                        mShareListener.accept(key, rate);
                    }
                });
        mReportedShares
                .keySet()
                .removeIf(
                        key -> {
                            boolean unlimited = !usable.containsKey(key);
                            if (unlimited) {
                                mShareListener.accept(key, Double.POSITIVE_INFINITY);
                            }
                            return unlimited;
                        });
    }
}
