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

/** Guards the owner's view of a worker that answers "not modified" and loses orders. */
class UnchangedReportsTest {
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

    private final EventLoopGroup mLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final AtomicInteger mWhole = new AtomicInteger();
    private final AtomicInteger mUnchanged = new AtomicInteger();
    private final AtomicInteger mOrders = new AtomicInteger();
    private final HttpServer mWorker =
            new HttpServer(new HostPort("127.0.0.1", 0), mLoop, 1 << 16, this::serve);
    private final FakeControlPlane mControl = new FakeControlPlane();
    private PlacementDuty mDuty;

    @BeforeEach
    void start() throws Exception {
        mWorker.start();
        EntryId entry = new EntryId("e");
        mDuty =
                new PlacementDuty(
                        entry,
                        REGION,
                        new GangPlacementCore(PlacementSettings.defaults(REGION)),
                        mControl,
                        new WorkerClient(new HttpClient(mLoop, 1_000, 1 << 16)),
                        new EventLog(entry, new HybridClock(), 64),
                        new EntryMetrics());
        mDuty.start();
        WorkerInfo worker =
                new WorkerInfo(
                        new WorkerId("w"),
                        REGION,
                        new FailureDomainId("d"),
                        new RackId("k"),
                        8,
                        mWorker.address());
        mDuty.onWorkers(List.of(worker));
        mDuty.onPlacementGained(1);
    }

    @AfterEach
    void stop() {
        mDuty.stop();
        mWorker.stop();
        mLoop.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** The first acknowledgements are lost; only reports make the core repeat them. */
    @Test
    void lostAcknowledgementIsSentAgainWhileTheReportStaysUnchanged() throws Exception {
        EntryFixture.await(() -> mOrders.get() >= 3);
        assertThat(mWhole).hasValue(1);
        assertThat(mUnchanged).hasPositiveValue();
    }

    @Test
    void nextOwnershipReadsTheWholeReport() throws Exception {
        EntryFixture.await(() -> mUnchanged.get() >= 1);
        mDuty.onPlacementLost();
        mDuty.onPlacementGained(2);
        EntryFixture.await(() -> mWhole.get() == 2);
    }

    private void serve(HttpCall call) {
        if (call.method().equals("POST")) {
            mOrders.incrementAndGet();
            call.abort();
        } else if (call.header("If-None-Match").equals(ReportVersion.of(REPORT).entityTag())) {
            mUnchanged.incrementAndGet();
            call.respond(304, "application/json", Map.of(), new byte[0]);
        } else {
            mWhole.incrementAndGet();
            call.respondJson(200, Json.write(REPORT));
        }
    }
}
