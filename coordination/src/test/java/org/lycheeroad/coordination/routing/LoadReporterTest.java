package org.lycheeroad.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.TargetInfo;

class LoadReporterTest {
    private static final RegionId REGION = new RegionId("r");
    private static final FailureDomainId DOMAIN = new FailureDomainId("d");

    private final Random mRandom = new Random(5);
    private final TargetSelector mSelector =
            new TargetSelector(
                    new RouterSettings(new EntryId("e"), REGION, DOMAIN, 8),
                    mRandom,
                    new PeerLoads(),
                    new LinkBudget(0, 0));
    private final LoadReporter mReporter = new LoadReporter(mRandom);
    private final Map<String, TargetState> mTargets = new HashMap<>();

    private TargetState addTarget(String id) {
        HostPort address = new HostPort("127.0.0.1", 1);
        TargetId target = new TargetId(id);
        TargetState state =
                new TargetState(new TargetInfo(target, REGION, DOMAIN, address, 8, 64, false), 0);
        mTargets.put(id, state);
        return state;
    }

    private static RoutedRequest request(String id, boolean isLong) {
        RoutedRequest request =
                new RoutedRequest(
                        new RoutingEvent.RequestArrived(
                                new RequestId(id), new TeamId("t"), new KindId("k"), true, 1_000),
                        1,
                        0);
        request.mCountedAsLong = isLong;
        return request;
    }

    private Map<TargetId, Integer> takeReport(long nowMicros) {
        return mReporter.takeReport(mTargets.values(), mSelector, nowMicros);
    }

    @Nested
    class ShortRequests {
        /**
         * Guards against reporting short requests at one instant and target, which the other
         * entries would use as the load for the next half second.
         */
        @Test
        void areSpreadOverTargetsAndTime() {
            TargetState busyTarget = addTarget("x");
            addTarget("y");
            for (int i = 0; i < 8; i++) {
                RoutedRequest request = request("q" + i, false);
                busyTarget.addRequest(request, 0);
                busyTarget.removeRequest(request, 250);
            }
            assertThat(takeReport(500))
                    .containsOnly(Map.entry(new TargetId("x"), 2), Map.entry(new TargetId("y"), 2));
            assertThat(takeReport(1_000)).isEmpty();
        }

        /** Guards against reporting load at targets to which the entry sends no requests. */
        @Test
        void areNotReportedAtPausedTargets() {
            addTarget("x").addRequest(request("q", false), 0);
            addTarget("y").mHealth.recordRefusal(499);
            assertThat(takeReport(500)).containsOnly(Map.entry(new TargetId("x"), 1));
        }
    }

    @Nested
    class LongRequests {
        /** Guards against reporting long requests late or at other targets. */
        @Test
        void areReportedAtTheirCurrentTargets() {
            RoutedRequest render = request("r", true);
            addTarget("x").addRequest(render, 499);
            addTarget("y");
            assertThat(takeReport(500)).containsOnly(Map.entry(new TargetId("x"), 1));
            mTargets.get("x").removeRequest(render, 501);
            assertThat(takeReport(1_000)).isEmpty();
        }
    }
}
