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

/** Hands out and uses the shares of the limits; runs on the control thread. */
final class LimitService {
    /** Sends reports and grants to peers. */
    interface Sender {
        /** Sends a report to the holder of the role {@code limits}. */
        void send(EntryId holder, DemandReport report);

        /** Sends a grant. */
        void send(EntryId entry, ShareGrant grant);
    }

    private final EntryId mSelf;
    private final int mEntries;
    private final Sender mSender;
    private final BiConsumer<LimitKey, Double> mOnShare;
    private final ShareClient mHolder;
    private final Map<LimitKey, Double> mUsable = new HashMap<>();
    private final Map<LimitKey, Double> mFractions = new HashMap<>();
    private volatile Map<LimitKey, Double> mDemand = Map.of();
    private Optional<ShareAllocator> mAllocator = Optional.empty();
    private final double mLinkBytes;
    private Map<LimitKey, Double> mLimits = Map.of();
    private long mNext;
    private long mReportedAt;

    LimitService(ControlSettings settings, Sender sender, BiConsumer<LimitKey, Double> onShare) {
        mSelf = settings.entry();
        mEntries = settings.entries();
        mLinkBytes = settings.linkBytesPerSecond();
        mSender = sender;
        mOnShare = onShare;
        mReportedAt = ControlLoop.now();
        mHolder = new ShareClient(settings.instance(), mEntries, mReportedAt);
    }

    /** Sets the demand in requests per second; may be called by any thread. */
    void publish(Map<LimitKey, Double> demandPerSecond) {
        mDemand = Map.copyOf(demandPerSecond);
    }

    void onTable(OperatorTable table) {
        Map<LimitKey, Double> limits = TableLimits.of(table);
        limits.put(InterRegionLinkLimit.KEY, mLinkBytes);
        mLimits = limits;
        mHolder.setLimits(mLimits);
        mAllocator.ifPresent(a -> a.setLimits(mLimits));
        tellUsable(ControlLoop.now());
    }

    void onGained(long token) {
        ShareAllocator allocator = new ShareAllocator(token, mEntries, ControlLoop.now());
        allocator.setLimits(mLimits);
        mAllocator = Optional.of(allocator);
        mHolder.rejectTokensBelow(token);
    }

    void onLost() {
        mAllocator = Optional.empty();
    }

    void onTokenSeen(long token) {
        mHolder.rejectTokensBelow(token);
    }

    void onReport(EntryId from, DemandReport report) {
        mAllocator.ifPresent(a -> a.onReport(from, report, ControlLoop.now()));
    }

    void onGrant(ShareGrant grant) {
        long now = ControlLoop.now();
        if (mHolder.applyGrant(grant, now)) {
            tellUsable(now);
        }
    }

    /** Reports demand to the holder and hands out shares as the holder. */
    void tick(Optional<EntryId> holder, long now) {
        tellUsable(now);
        if (now < mNext) {
            return;
        }
        mNext = now + ShareAllocator.INTERVAL_MILLIS;
        DemandReport report = mHolder.createReport(arrived(now), now);
        if (mAllocator.isPresent()) {
            mAllocator.get().onReport(mSelf, report, now);
            mAllocator.get().allocate(now).forEach(this::deliver);
        } else {
            holder.filter(h -> !h.equals(mSelf)).ifPresent(h -> mSender.send(h, report));
        }
    }

    private void deliver(EntryId entry, ShareGrant grant) {
        if (entry.equals(mSelf)) {
            onGrant(grant);
        } else {
            mSender.send(entry, grant);
        }
    }

    /** Converts the published rates to whole requests and keeps the fractions for the next time. */
    private Map<LimitKey, Long> arrived(long now) {
        double seconds = (now - mReportedAt) / 1e3;
        mReportedAt = now;
        Map<LimitKey, Long> arrived = new HashMap<>();
        mDemand.forEach(
                (key, rate) -> {
                    double count = mFractions.getOrDefault(key, 0.0) + rate * seconds;
                    arrived.put(key, (long) count);
                    mFractions.put(key, count - (long) count);
                });
        return arrived;
    }

    private void tellUsable(long now) {
        Map<LimitKey, Double> usable = mHolder.usablePerSecond(now);
        usable.forEach(
                (key, rate) -> {
                    if (!rate.equals(mUsable.put(key, rate))) {
                        mOnShare.accept(key, rate);
                    }
                });
        mUsable.keySet()
                .removeIf(
                        key -> {
                            boolean unlimited = !usable.containsKey(key);
                            if (unlimited) {
                                mOnShare.accept(key, Double.POSITIVE_INFINITY);
                            }
                            return unlimited;
                        });
    }
}
