package org.lycheeroad.entry.duty;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.placement.GangPlacementCore;
import org.lycheeroad.coordination.placement.PlacementSettings;
import org.lycheeroad.entry.EntryFixture;
import org.lycheeroad.entry.FakeControlPlane;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.WorkerInfo;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.http.HttpServer;
import org.lycheeroad.transport.worker.WorkerClient;

/** Tests report polling with a worker that returns "not modified" and loses orders. */
class UnchangedReportTest {
    private static final RegionId REGION = new RegionId("r");
    private static final WorkerReport REPORT =
            new WorkerReport(
                    new WorkerId("w"),
                    4,
                    2,
                    0,
                    List.of(
                            new TaskReport(
                                    new JobId("ended"),
                                    0,
                                    1,
                                    TaskState.STOPPED,
                                    List.of(0),
                                    null,
                                    5)));

    private final EventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger mFullReportCount = new AtomicInteger();
    private final AtomicInteger mNotModifiedCount = new AtomicInteger();
    private final AtomicInteger mOrderRequestCount = new AtomicInteger();
    private final HttpServer mWorker =
            new HttpServer(new HostPort("127.0.0.1", 0), mEventLoopGroup, 1 << 16, this::serve);
    private final FakeControlPlane mControlPlane = new FakeControlPlane();
    private PlacementService mService;

    @BeforeEach
    void start() throws Exception {
        mWorker.start();
        EntryId entry = new EntryId("e");
        mService =
                new PlacementService(
                        entry,
                        REGION,
                        new GangPlacementCore(PlacementSettings.defaults(REGION)),
                        mControlPlane,
                        new WorkerClient(new HttpClient(mEventLoopGroup, 1_000, 1 << 16)),
                        new EventLog(entry, new HybridClock(), 64),
                        new EntryMetrics());
        mService.start();
        WorkerInfo worker =
                new WorkerInfo(
                        new WorkerId("w"),
                        REGION,
                        new FailureDomainId("d"),
                        new RackId("k"),
                        8,
                        mWorker.address());
        mService.onWorkersChanged(List.of(worker));
        mService.onPlacementRoleGained(1);
    }

    @AfterEach
    void stop() {
        mService.stop();
        mWorker.stop();
        mEventLoopGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Guards against lost acknowledgements: only reports, even unchanged ones, make the core
     * resend.
     */
    @Test
    void lostAcknowledgementIsRetriedOnUnchangedReport() throws Exception {
        EntryFixture.await(() -> mOrderRequestCount.get() >= 3);
        assertThat(mFullReportCount).hasValue(1);
        assertThat(mNotModifiedCount).hasPositiveValue();
    }

    @Test
    void nextOwnershipFetchesFullReport() throws Exception {
        EntryFixture.await(() -> mNotModifiedCount.get() >= 1);
        mService.onPlacementRoleLost();
        mService.onPlacementRoleGained(2);
        EntryFixture.await(() -> mFullReportCount.get() == 2);
    }

    private void serve(HttpCall call) {
        if (call.method().equals("POST")) {
            mOrderRequestCount.incrementAndGet();
            call.abort();
        } else if (call.header("If-None-Match").equals(ReportVersion.of(REPORT).entityTag())) {
            mNotModifiedCount.incrementAndGet();
            call.respond(304, "application/json", Map.of(), new byte[0]);
        } else {
            mFullReportCount.incrementAndGet();
            call.respondJson(200, Json.write(REPORT));
        }
    }
}
