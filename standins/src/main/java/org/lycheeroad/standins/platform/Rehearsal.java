package org.lycheeroad.standins.platform;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;

/**
 * Drives a daemon against a stand-in platform for some seconds, so that the JVM can record which
 * classes a daemon loads.
 */
public final class Rehearsal {
    private static final int EXECUTOR_COUNT = 3;
    private static final int JOB_COUNT = 8;
    private static final int PORT_COUNT = 3;
    private static final int MAX_READY_CHECKS = 100;
    private static final int SHUTDOWN_GRACE_S = 1;
    private static final long PAUSE_MS = 150;
    private static final long TIMEOUT_MS = 3_000;
    private static final String JOB_BODY =
            "{\"spec\":\"ms=100\",\"phases\":[{\"count\":2,\"cpu\":100,\"gpu\":1,"
                    + "\"estimate_ms\":100,\"gang\":true,\"rack_local\":true},"
                    + "{\"count\":1,\"after\":[0],\"affinity\":\"r1-0\"}]}";

    private Rehearsal() {}

    /**
     * Writes the settings file named by the argument, waits until the daemon that reads it is
     * ready, and submits jobs. Exits with status 1 if no task was started.
     */
    public static void main(String[] arguments) throws Exception {
        EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        PlatformStandIn platform = new PlatformStandIn(eventLoops);
        platform.start(EXECUTOR_COUNT);
        int[] ports = freePorts();
        Files.write(
                Path.of(arguments[0]),
                platform.daemonSettings("vm-1", ports[0], ports[1], ports[2], SHUTDOWN_GRACE_S));
        HostPort front = new HostPort(PlatformStandIn.HOST, ports[0]);
        HostPort readiness = new HostPort(PlatformStandIn.HOST, ports[1]);
        HttpClient http = new HttpClient(eventLoops, (int) TIMEOUT_MS, 1 << 20);
        waitUntilReady(http, readiness);
        for (int i = 0; i < JOB_COUNT; i++) {
            String path = PlatformStandIn.PATH_PREFIX + String.format("%016x", i);
            call(http, front, "POST", path, JOB_BODY);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            call(http, front, "GET", path, "");
            if (i % 2 == 0) {
                call(http, front, "DELETE", path, "");
            }
        }
        call(http, front, "GET", PlatformStandIn.PATH_PREFIX, "");
        System.exit(platform.recorder().startCount() > 0 ? 0 : 1);
    }

    private static void waitUntilReady(HttpClient http, HostPort readiness) throws Exception {
        for (int i = 0; i < MAX_READY_CHECKS; i++) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            if (isReady(http, readiness)) {
                return;
            }
        }
        throw new IllegalStateException("daemon is not ready");
    }

    private static boolean isReady(HttpClient http, HostPort readiness) throws Exception {
        try {
            return call(http, readiness, "GET", "/readyz", "").status() == 200;
        } catch (ExecutionException e) {
            // The daemon is not listening yet.
            return false;
        }
    }

    private static int[] freePorts() throws IOException {
        int[] ports = new int[PORT_COUNT];
        ServerSocket[] sockets = new ServerSocket[PORT_COUNT];
        for (int i = 0; i < PORT_COUNT; i++) {
            sockets[i] = new ServerSocket(0);
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    private static BufferedHttpResponse call(
            HttpClient http, HostPort server, String method, String path, String body)
            throws Exception {
        Map<String, String> headers = Map.of("Authorization", "Token " + PlatformStandIn.API_KEY);
        return http.call(
                        server,
                        method,
                        path,
                        headers,
                        body.getBytes(StandardCharsets.UTF_8),
                        TIMEOUT_MS)
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
