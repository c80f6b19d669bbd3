package org.lycheeroad.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.lycheeroad.coordination.placement.GangPlacementCore;
import org.lycheeroad.coordination.placement.PlacementSettings;
import org.lycheeroad.coordination.routing.FairRequestRouter;
import org.lycheeroad.coordination.routing.RouterSettings;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.entry.settings.EntryOptions;
import org.lycheeroad.entry.settings.EntrySettings;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpServer;

/**
 * Runs an entry daemon on loopback sockets with an in-memory control plane and a VM list server.
 */
public final class EntryFixture implements AutoCloseable {
    private static final HostPort ANY_LOOPBACK_PORT = new HostPort("127.0.0.1", 0);
    private static final long ROUTER_SEED = 7;

    public final FakeControlPlane controlPlane = new FakeControlPlane();
    public final EntryDaemon daemon;
    public final EntryMetrics metrics = new EntryMetrics();
    public final HttpClient http = HttpClient.newHttpClient();
    private final List<VmInfo> mVms = new CopyOnWriteArrayList<>();
    private final EventLoopGroup mRequestLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoopGroup mControlLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mVmListServer;

    public EntryFixture(ScriptedTarget... targets) throws Exception {
        for (int i = 0; i < targets.length; i++) {
            mVms.add(newVm("t" + i, "target", targets[i].port(), "live", 0));
        }
        mVmListServer =
                new HttpServer(
                        ANY_LOOPBACK_PORT,
                        mControlLoop,
                        1024,
                        call -> call.respondJson(200, Json.write(mVms)));
        mVmListServer.start();
        EntrySettings settings =
                EntryOptions.parse(
                        List.of(
                                "--entry-id=e1",
                                "--region=mazowsze",
                                "--failure-domain=warszawa-a",
                                "--listen=127.0.0.1:0",
                                "--peer-listen=127.0.0.1:0",
                                "--ops-listen=127.0.0.1:0",
                                "--store=127.0.0.1:1",
                                "--entries=1",
                                "--vm-poll-ms=50",
                                "--drain-wait-ms=100",
                                "--drain-bound-ms=8000",
                                "--vm-list=127.0.0.1:" + mVmListServer.address().port()),
                        java.util.Map.of());
        daemon =
                new EntryDaemon(
                        settings,
                        controlPlane,
                        new GangPlacementCore(PlacementSettings.defaults(settings.region())),
                        new FairRequestRouter(
                                new RouterSettings(
                                        settings.entryId(),
                                        settings.region(),
                                        settings.failureDomain(),
                                        1),
                                ROUTER_SEED),
                        new EventLog(settings.entryId(), new HybridClock(), 4_096),
                        metrics,
                        mRequestLoop.next(),
                        mControlLoop);
        daemon.start();
        await(daemon::isReady);
    }

    /** Adds a VM to the VM list, replacing one with the same id. */
    public void listVm(String id, String role, int port, String state, int accelerators) {
        mVms.removeIf(vm -> vm.id().equals(id));
        mVms.add(newVm(id, role, port, state, accelerators));
    }

    /** Adds a target in another region to the VM list. */
    public void listRemoteTarget(String id, int port) {
        mVms.add(
                new VmInfo(
                        id,
                        "target",
                        "127.0.0.1",
                        port,
                        "malopolska",
                        "krakow-a",
                        "r1",
                        "live",
                        0,
                        8,
                        64));
    }

    public HttpRequest.Builder requestBuilder(String path) {
        return HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + daemon.callerAddress().port() + path))
                .timeout(Duration.ofSeconds(10))
                .header("Lycheeroad-Team", "montaz");
    }

    public HttpResponse<String> postRequest(String body, String... headers) throws Exception {
        HttpRequest.Builder request =
                requestBuilder("/v1/requests/photo")
                        .POST(HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return http.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    public HttpResponse<String> send(HttpRequest request) throws Exception {
        return http.send(request, HttpResponse.BodyHandlers.ofString());
    }

    public HttpRequest.Builder operatorRequestBuilder(String path) {
        return HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + daemon.operatorAddress().port() + path));
    }

    /** Opens a connection and sends text without waiting for a response. */
    public Socket openConnection(String text) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), daemon.callerAddress().port());
        socket.setSoTimeout(10_000);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        return socket;
    }

    /** Waits until a condition is true; fails after 10 s. */
    public static void await(BooleanSupplier condition) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(10).toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - deadlineNanos > 0) {
                throw new AssertionError("condition not met within 10 s");
            }
            Thread.sleep(5);
        }
    }

    private static VmInfo newVm(String id, String role, int port, String state, int accelerators) {
        return new VmInfo(
                id,
                role,
                "127.0.0.1",
                port,
                "mazowsze",
                "warszawa-a",
                "r1",
                state,
                accelerators,
                8,
                64);
    }

    @Override
    public void close() {
        if (!controlPlane.stopped) {
            daemon.stop();
        }
        mVmListServer.stop();
        mRequestLoop.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
        mControlLoop.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
    }
}
