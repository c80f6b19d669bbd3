package org.lycheeroad.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.limits.InterRegionLinkLimit;
import org.lycheeroad.coordination.limits.LimitKey;
import org.lycheeroad.coordination.limits.ShareClient;
import org.lycheeroad.coordination.limits.TokenBucket;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.TargetInfo;

/** What the router sends in all, under the shares of limits, the link's cap and reservations. */
class RouterLimitsTest {
    private static final RegionId REGION = new RegionId("r0");
    private static final FailureDomainId DOMAIN = new FailureDomainId("d0");
    private static final TeamId TEAM = new TeamId("t");
    private static final long SECOND = 1_000_000;
    private static final long STEP = 5_000;

    /** Sends requests of one kind at a rate and answers each after its service time. */
    private static final class Flow {
        final KindId mKind;
        final int mPerSecond;
        final long mService;

        Flow(String kind, int perSecond, long service) {
            mKind = new KindId(kind);
            mPerSecond = perSecond;
            mService = service;
        }
    }

    private final Map<RequestId, Long> mEnds = new HashMap<>();
    private final Map<RequestId, Flow> mFlows = new HashMap<>();
    private final Map<RequestId, Long> mArrived = new HashMap<>();
    private final Map<TargetId, Integer> mSent = new HashMap<>();
    private final Map<RequestId, Long> mCrossing = new HashMap<>();
    private final List<Long> mWaits = new ArrayList<>();
    private FairRequestRouter mRouter;
    private int mArrivals;

    /** The bytes of each request, and of its answer. */
    private long mSize;

    private long mLinkBytes;

    private void start(int entries, double linkBytes, TargetInfo... targets) {
        RouterSettings settings =
                new RouterSettings(
                        new EntryId("e0"), REGION, DOMAIN, entries, linkBytes, 2_000, 10_000);
        mRouter = new FairRequestRouter(settings, 3);
        feed(new RoutingEvent.TargetsChanged(List.of(targets)), 0);
    }

    private void run(long from, long until, Flow... flows) {
        for (long now = from; now < until; now += STEP) {
            long at = now;
            List<RequestId> ended = new ArrayList<>(mEnds.keySet());
            ended.removeIf(id -> mEnds.get(id) > at);
            ended.sort(null);
            for (RequestId id : ended) {
                mEnds.remove(id);
                Long size = mCrossing.remove(id);
                if (size != null) {
                    feed(new RoutingEvent.LinkBytes(id, 1, size, size, true), now);
                }
                feed(new RoutingEvent.AttemptEnded(id, 1, AttemptOutcome.WHOLE), now);
            }
            for (Flow flow : flows) {
                for (int i = 0; i < flow.mPerSecond; i++) {
                    // Spreads the arrivals over the steps of each second.
                    if (i * SECOND / flow.mPerSecond / STEP == now % SECOND / STEP) {
                        RequestId id = new RequestId("q" + mArrivals++);
                        mFlows.put(id, flow);
                        mArrived.put(id, now);
                        feed(
                                new RoutingEvent.RequestArrived(
                                        id, TEAM, flow.mKind, true, now + 60 * SECOND),
                                now);
                    }
                }
            }
            feed(new RoutingEvent.Tick(), now);
        }
    }

    private void feed(RoutingEvent event, long now) {
        for (RoutingAction action : mRouter.handle(event, now)) {
            if (action instanceof RoutingAction.Dispatch a) {
                Flow flow = mFlows.get(a.request());
                mEnds.put(a.request(), now + flow.mService);
                mSent.merge(a.target(), 1, Integer::sum);
                if (a.target().value().equals("far")) {
                    mCrossing.put(a.request(), mSize);
                    mLinkBytes += mSize;
                }
                if (flow.mKind.value().equals("check")) {
                    mWaits.add(now - mArrived.get(a.request()));
                }
            }
        }
    }

    private static TargetInfo target(String id, String region) {
        return new TargetInfo(
                new TargetId(id),
                new RegionId(region),
                region.equals("r0") ? DOMAIN : new FailureDomainId("d9"),
                new HostPort("127.0.0.1", 1),
                8,
                64,
                false);
    }

    private int sent() {
        return mSent.values().stream().mapToInt(n -> n).sum();
    }

    @Nested
    class Limits {
        private static final double LIMIT = 40;

        private final Flow mChecks = new Flow("check", 200, 5_000);

        /** Guards against a share that the router does not apply, or applies late. */
        @Test
        void sendsNoMoreThanTheShareOfTheHolder() {
            ShareClient holder = new ShareClient(1, 2, 0);
            LimitKey key = new LimitKey(TEAM, new KindId("check"));
            holder.setLimits(Map.of(key, LIMIT));
            start(2, 0, target("a", "r0"), target("b", "r0"));
            double floor = holder.usablePerSecond(0).get(key);
            feed(new RoutingEvent.ShareChanged(TEAM, key.kind(), floor), 0);
            run(0, 10 * SECOND, mChecks);
            // Nothing is leased, so that half of the limit over two entries is left.
            double burst = Math.max(1, floor * TokenBucket.BURST_MICROS / SECOND);
            assertThat(floor).isEqualTo(LIMIT / 4);
            assertThat((double) sent()).isBetween(0.9 * 10 * floor, 10 * floor + burst);
            int before = sent();
            feed(new RoutingEvent.ShareChanged(TEAM, key.kind(), 0), 10 * SECOND);
            run(10 * SECOND, 12 * SECOND, mChecks);
            assertThat(sent()).isEqualTo(before);
        }
    }

    @Nested
    class LinkBetweenRegions {
        private static final double RATE = 200_000;

        private final Flow mChecks = new Flow("check", 40, 400_000);

        /**
         * Guards against a paid link that is filled by a region without free targets, also while a
         * flow's size is not known yet or has just become ten times as large or as small.
         */
        @Test
        void carriesNoMoreThanItsCap() {
            // Half of the limit is the floor of the one entry.
            start(1, 2 * RATE, target("near", "r0"), target("far", "r1"));
            long[] sizes = {300_000, 10_000, 100_000, 10_000};
            double carried = 0;
            for (int i = 0; i < sizes.length; i++) {
                mSize = sizes[i];
                long before = mLinkBytes;
                run(i * 20L * SECOND, (i + 1) * 20L * SECOND, mChecks);
                double burst = RATE / 4;
                // The bytes count when they are sent. Eight slots bound the crossings in flight.
                double overshoot = Math.max(burst, 300_000) + 8.0 * mSize;
                assertThat(mLinkBytes - before).isLessThanOrEqualTo((long) (20 * RATE + overshoot));
                carried += mLinkBytes - before;
            }
            // What is charged too much comes back, so that the link is used.
            assertThat(carried).isGreaterThan(0.5 * 80 * RATE);
        }

        /** Guards against a share of the role holder that the router does not apply. */
        @Test
        void followsTheShareOfTheHolder() {
            start(8, 0, target("near", "r0"), target("far", "r1"));
            mSize = 10_000;
            run(0, 10 * SECOND, mChecks);
            assertThat(mLinkBytes).isZero();
            assertThat(mRouter.takeLinkDemand()).as("demand without a share").isPositive();
            feed(
                    new RoutingEvent.ShareChanged(
                            InterRegionLinkLimit.KEY.team(), InterRegionLinkLimit.KEY.kind(), RATE),
                    10 * SECOND);
            run(10 * SECOND, 20 * SECOND, mChecks);
            assertThat(mLinkBytes).isPositive();
        }
    }

    @Nested
    class ReservedSlots {
        /** Guards against short checks that wait for a render to end. */
        @Test
        void letShortWorkStartAtOnce() {
            start(1, 0, target("a", "r0"));
            Flow checks = new Flow("check", 20, 30_000);
            run(0, 5 * SECOND, checks);
            mWaits.clear();
            // Six of the eight slots serve two renders of 3 s a second, a third of what arrives.
            run(5 * SECOND, 30 * SECOND, checks, new Flow("render", 6, 3 * SECOND));
            assertThat(mWaits).hasSizeGreaterThan(400).allMatch(wait -> wait <= STEP);
        }
    }
}
