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

/** Total dispatches of the router under rate limits, the link limit and slot reservations. */
class RouterLimitsTest {
    private static final RegionId REGION = new RegionId("r0");
    private static final FailureDomainId DOMAIN = new FailureDomainId("d0");
    private static final TeamId TEAM = new TeamId("t");
    private static final long SECOND_MICROS = 1_000_000;
    private static final long STEP_MICROS = 5_000;

    /** Requests of one kind that arrive at a constant rate and have a constant service time. */
    private static final class RequestStream {
        final KindId mKind;
        final int mPerSecond;
        final long mServiceMicros;

        RequestStream(String kind, int perSecond, long serviceMicros) {
            mKind = new KindId(kind);
            mPerSecond = perSecond;
            mServiceMicros = serviceMicros;
        }
    }

    private final Map<RequestId, Long> mEndMicros = new HashMap<>();
    private final Map<RequestId, RequestStream> mStreams = new HashMap<>();
    private final Map<RequestId, Long> mArrivalMicros = new HashMap<>();
    private final Map<TargetId, Integer> mSentByTarget = new HashMap<>();
    private final Map<RequestId, Long> mRemoteRequestBytes = new HashMap<>();
    private final List<Long> mCheckWaitMicros = new ArrayList<>();
    private FairRequestRouter mRouter;
    private int mArrivalCount;

    /** The size of each request, and of each answer. */
    private long mRequestBytes;

    private long mLinkBytes;

    private void start(int entryCount, double linkBytesPerSecond, TargetInfo... targets) {
        RouterSettings settings =
                new RouterSettings(
                        new EntryId("e0"),
                        REGION,
                        DOMAIN,
                        entryCount,
                        linkBytesPerSecond,
                        2_000,
                        10_000);
        mRouter = new FairRequestRouter(settings, 3);
        send(new RoutingEvent.TargetsChanged(List.of(targets)), 0);
    }

    private void run(long fromMicros, long untilMicros, RequestStream... streams) {
        for (long nowMicros = fromMicros; nowMicros < untilMicros; nowMicros += STEP_MICROS) {
            long stepMicros = nowMicros;
            List<RequestId> ended = new ArrayList<>(mEndMicros.keySet());
            ended.removeIf(id -> mEndMicros.get(id) > stepMicros);
            ended.sort(null);
            for (RequestId id : ended) {
                mEndMicros.remove(id);
                Long bytes = mRemoteRequestBytes.remove(id);
                if (bytes != null) {
                    send(new RoutingEvent.LinkBytesCounted(id, 1, bytes, bytes, true), nowMicros);
                }
                send(new RoutingEvent.AttemptEnded(id, 1, AttemptOutcome.WHOLE), nowMicros);
            }
            for (RequestStream stream : streams) {
                for (int i = 0; i < stream.mPerSecond; i++) {
                    // Spreads the arrivals over the steps of each second.
                    if (i * SECOND_MICROS / stream.mPerSecond / STEP_MICROS
                            == nowMicros % SECOND_MICROS / STEP_MICROS) {
                        RequestId id = new RequestId("q" + mArrivalCount++);
                        mStreams.put(id, stream);
                        mArrivalMicros.put(id, nowMicros);
                        send(
                                new RoutingEvent.RequestArrived(
                                        id,
                                        TEAM,
                                        stream.mKind,
                                        true,
                                        nowMicros + 60 * SECOND_MICROS),
                                nowMicros);
                    }
                }
            }
            send(new RoutingEvent.Tick(), nowMicros);
        }
    }

    private void send(RoutingEvent event, long nowMicros) {
        for (RoutingAction action : mRouter.handle(event, nowMicros)) {
            if (action instanceof RoutingAction.Dispatch a) {
                RequestStream stream = mStreams.get(a.request());
                mEndMicros.put(a.request(), nowMicros + stream.mServiceMicros);
                mSentByTarget.merge(a.target(), 1, Integer::sum);
                if (a.target().value().equals("far")) {
                    mRemoteRequestBytes.put(a.request(), mRequestBytes);
                    mLinkBytes += mRequestBytes;
                }
                if (stream.mKind.value().equals("check")) {
                    mCheckWaitMicros.add(nowMicros - mArrivalMicros.get(a.request()));
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

    private int sentCount() {
        return mSentByTarget.values().stream().mapToInt(n -> n).sum();
    }

    @Nested
    class RateLimitShare {
        private static final double LIMIT = 40;

        private final RequestStream mChecks = new RequestStream("check", 200, 5_000);

        /** Guards against ignoring a share, or applying its change late. */
        @Test
        void isNotExceeded() {
            ShareClient holder = new ShareClient(1, 2, 0);
            LimitKey key = new LimitKey(TEAM, new KindId("check"));
            holder.setLimits(Map.of(key, LIMIT));
            start(2, 0, target("a", "r0"), target("b", "r0"));
            double floor = holder.usablePerSecond(0).get(key);
            send(new RoutingEvent.ShareChanged(TEAM, key.kind(), floor), 0);
            run(0, 10 * SECOND_MICROS, mChecks);
            // No share is leased, so each of the two entries has half of half the limit.
            double burst = Math.max(1, floor * TokenBucket.BURST_MICROS / SECOND_MICROS);
            assertThat(floor).isEqualTo(LIMIT / 4);
            assertThat((double) sentCount()).isBetween(0.9 * 10 * floor, 10 * floor + burst);
            int sentBefore = sentCount();
            send(new RoutingEvent.ShareChanged(TEAM, key.kind(), 0), 10 * SECOND_MICROS);
            run(10 * SECOND_MICROS, 12 * SECOND_MICROS, mChecks);
            assertThat(sentCount()).isEqualTo(sentBefore);
        }
    }

    @Nested
    class LinkBetweenRegions {
        private static final double BYTES_PER_SECOND = 200_000;

        private final RequestStream mChecks = new RequestStream("check", 40, 400_000);

        /**
         * Guards against exceeding the link limit, which costs money, when a region has no free
         * targets, also while the request size is unknown or has just changed by a factor of ten.
         */
        @Test
        void isNotUsedBeyondItsLimit() {
            // Without a lease, the only entry may use half of the limit.
            start(1, 2 * BYTES_PER_SECOND, target("near", "r0"), target("far", "r1"));
            long[] sizes = {300_000, 10_000, 100_000, 10_000};
            double transferredBytes = 0;
            for (int i = 0; i < sizes.length; i++) {
                mRequestBytes = sizes[i];
                long before = mLinkBytes;
                run(i * 20L * SECOND_MICROS, (i + 1) * 20L * SECOND_MICROS, mChecks);
                double burstBytes = BYTES_PER_SECOND / 4;
                // The test counts bytes on dispatch; eight slots limit the attempts in flight.
                double overshootBytes = Math.max(burstBytes, 300_000) + 8.0 * mRequestBytes;
                assertThat(mLinkBytes - before)
                        .isLessThanOrEqualTo((long) (20 * BYTES_PER_SECOND + overshootBytes));
                transferredBytes += mLinkBytes - before;
            }
            // Excess charges are refunded, so that the link is well used.
            assertThat(transferredBytes).isGreaterThan(0.5 * 80 * BYTES_PER_SECOND);
        }

        /** Guards against ignoring the granted share of the link limit. */
        @Test
        void isUsedOnlyWithShare() {
            start(8, 0, target("near", "r0"), target("far", "r1"));
            mRequestBytes = 10_000;
            run(0, 10 * SECOND_MICROS, mChecks);
            assertThat(mLinkBytes).isZero();
            assertThat(mRouter.takeLinkDemandBytes()).as("demand without a share").isPositive();
            send(
                    new RoutingEvent.ShareChanged(
                            InterRegionLinkLimit.KEY.team(),
                            InterRegionLinkLimit.KEY.kind(),
                            BYTES_PER_SECOND),
                    10 * SECOND_MICROS);
            run(10 * SECOND_MICROS, 20 * SECOND_MICROS, mChecks);
            assertThat(mLinkBytes).isPositive();
        }
    }

    @Nested
    class ReservedSlots {
        /** Guards against short checks that wait for a render to end. */
        @Test
        void letShortRequestsStartAtOnce() {
            start(1, 0, target("a", "r0"));
            RequestStream checks = new RequestStream("check", 20, 30_000);
            run(0, 5 * SECOND_MICROS, checks);
            mCheckWaitMicros.clear();
            // Renders may use six of the eight slots and so start at 2/s, a third of their arrival
            // rate.
            run(
                    5 * SECOND_MICROS,
                    30 * SECOND_MICROS,
                    checks,
                    new RequestStream("render", 6, 3 * SECOND_MICROS));
            assertThat(mCheckWaitMicros)
                    .hasSizeGreaterThan(400)
                    .allMatch(wait -> wait <= STEP_MICROS);
        }
    }
}
