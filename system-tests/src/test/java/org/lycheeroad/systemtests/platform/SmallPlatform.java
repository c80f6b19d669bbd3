package org.lycheeroad.systemtests.platform;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.lycheeroad.platform.PlatformDaemon;
import org.lycheeroad.standins.platform.PlatformStandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;

/** A stand-in platform with some daemons in this process. */
final class SmallPlatform implements AutoCloseable {
    private static final int TIMEOUT_MS = 5_000;
    private static final int PORTS = 3;
    private static final int GRACE_S = 1;
    private static final int STATUS_S = 120;

    public final PlatformStandIn platform;
    public final List<PlatformDaemon> daemons = new ArrayList<>();
    private final EventLoopGroup mLoop =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mHttp = new HttpClient(mLoop, TIMEOUT_MS, 1 << 20);

    SmallPlatform(int executors, int vms) throws Exception {
        this(executors, vms, STATUS_S);
    }

    /** Creates a platform on which ended jobs are shown for some seconds. */
    SmallPlatform(int executors, int vms, int statusS) throws Exception {
        platform = new PlatformStandIn(mLoop);
        platform.setStatusRetentionSeconds(statusS);
        platform.start(executors);
        for (int i = 0; i < vms; i++) {
            int[] ports = freePorts();
            PlatformDaemon daemon =
                    new PlatformDaemon(
                            platform.daemonSettings(
                                    "vm-" + i, ports[0], ports[1], ports[2], GRACE_S));
            daemon.start();
            daemons.add(daemon);
        }
        for (int i = 0; i < vms; i++) {
            int vm = i;
            await(
                    "daemon is ready",
                    () -> get(daemons.get(vm).readinessAddress(), "/readyz") == 200);
        }
        await("owner schedules", () -> get(0, "").status() == 200);
    }

    @Override
    public void close() {
        daemons.forEach(PlatformDaemon::stopNow);
        platform.stop();
        mLoop.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    BufferedHttpResponse submit(int vm, String id, String spec, String step) {
        return call(
                vm,
                "POST",
                id,
                PlatformStandIn.API_KEY,
                "{\"spec\":\"" + spec + "\",\"phases\":[" + step + "]}");
    }

    BufferedHttpResponse callAdvised(int vm, String method, String id, String body) {
        String path = PlatformStandIn.ADVISED_PATH_PREFIX + id;
        return call(daemons.get(vm).apiAddress(), method, path, PlatformStandIn.API_KEY, body);
    }

    BufferedHttpResponse get(int vm, String id) {
        return call(vm, "GET", id, PlatformStandIn.API_KEY, "");
    }

    BufferedHttpResponse cancel(int vm, String id) {
        return call(vm, "DELETE", id, PlatformStandIn.API_KEY, "");
    }

    BufferedHttpResponse call(int vm, String method, String id, String key, String body) {
        return call(
                daemons.get(vm).apiAddress(), method, PlatformStandIn.PATH_PREFIX + id, key, body);
    }

    void awaitState(int vm, String id, String state) {
        await(id + " is " + state, () -> get(vm, id).text().contains(state));
    }

    static String id(int number) {
        return String.format("%016x", number);
    }

    static void await(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("not reached within 20 s: " + what);
            }
            pause(20);
        }
    }

    static void pause(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    private int get(HostPort to, String path) {
        return call(to, "GET", path, "", "").status();
    }

    private BufferedHttpResponse call(
            HostPort to, String method, String path, String key, String body) {
        try {
            return mHttp.call(
                            to,
                            method,
                            path,
                            Map.of("Authorization", "Token " + key),
                            body.getBytes(StandardCharsets.UTF_8),
                            TIMEOUT_MS)
                    .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (Exception e) {
            throw new AssertionError(method + " " + path + " failed", e);
        }
    }

    private static int[] freePorts() throws IOException {
        int[] ports = new int[PORTS];
        ServerSocket[] sockets = new ServerSocket[PORTS];
        for (int i = 0; i < PORTS; i++) {
            sockets[i] = new ServerSocket(0);
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
