package org.lycheeroad.standins.workers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.OrdersResponse;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.standins.VmLocation;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.WorkerInfo;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.worker.WorkerClient;

/**
 * Tests renewals that the worker answers only after a change or a wait. Guards against a renewal
 * that hides the end of a task and against one that is never answered.
 */
class LongPollRenewalTest {
    private static final EntryId OWNER = new EntryId("e");

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final WorkerClient mClient =
            new WorkerClient(new HttpClient(mEventLoops, 1_000, 1 << 16));
    private final WorkersStandIn mWorkers =
            new WorkersStandIn(
                    new HostPort("127.0.0.1", 0), new VmLocation("w", "r", "d", "k"), 1, 8, 0);
    private WorkerInfo mWorker;

    @BeforeEach
    void start() throws Exception {
        mWorkers.start();
        mWorker =
                new WorkerInfo(
                        new WorkerId("w0"),
                        new RegionId("r"),
                        new FailureDomainId("d"),
                        new RackId("k"),
                        8,
                        mWorkers.address());
    }

    @AfterEach
    void stop() {
        mWorkers.stop();
        mEventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    @Test
    void returnsEmptyWhenTheWaitExpires() throws Exception {
        ReportVersion runningVersion = startTask("run-ms=60000");
        assertThat(renew(runningVersion, 100)).isEmpty();
    }

    @Test
    void returnsReportWhenATaskEndsDuringTheWait() throws Exception {
        ReportVersion runningVersion = startTask("run-ms=200");
        OrdersResponse response = renew(runningVersion, 60_000).orElseThrow();
        assertThat(response.renewed()).isTrue();
        assertThat(response.report().tasks())
                .singleElement()
                .matches(task -> task.state() == TaskState.DONE);
    }

    @Test
    void renewalWithOutdatedReportVersionIsRejected() throws Exception {
        ReportVersion runningVersion = startTask("run-ms=60000");
        ReportVersion olderVersion =
                new ReportVersion(runningVersion.incarnation(), runningVersion.sequence() - 1);
        assertThat(renew(olderVersion, 60_000).orElseThrow().renewed()).isFalse();
    }

    private Optional<OrdersResponse> renew(ReportVersion knownVersion, long waitMs)
            throws Exception {
        OrdersRequest request =
                new OrdersRequest(OWNER, 2, List.of(), knownVersion.toString(), 6_000, waitMs);
        return mClient.renew(mWorker, request, 5_000).get(6, TimeUnit.SECONDS);
    }

    private ReportVersion startTask(String payload) throws Exception {
        JobSpec spec =
                new JobSpec(
                        new JobId("j"),
                        new TeamId("t"),
                        new KindId("render"),
                        new RegionId("r"),
                        Shape.parse("1x1@worker"),
                        false,
                        60_000,
                        payload);
        List<Order> orders =
                List.of(OrderKind.RESERVE, OrderKind.CONFIRM, OrderKind.START).stream()
                        .map(kind -> new Order(kind, spec.id(), 0, 1, List.of(0), spec, 6_000))
                        .toList();
        OrdersRequest request = new OrdersRequest(OWNER, 2, orders, null, 0, 0);
        return ReportVersion.of(mClient.sendOrders(mWorker, request, 5_000).get().report());
    }
}
