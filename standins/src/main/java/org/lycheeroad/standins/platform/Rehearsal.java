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
 * Drives a daemon against a stand-in platform for some seconds, so that the virtual machine can
 * record which classes a daemon loads.
 */
public final class Rehearsal {
    private static final int EXECUTORS = 3;
    private static final int JOBS = 8;
    private static final int PORTS = 3;
    private static final int READY_TRIES = 100;
    private static final int GRACE_S = 1;
    private static final long PAUSE_MS = 150;
    private static final long TIMEOUT_MS = 3_000;
    private static final String BODY =
            "{\"spec\":\"ms=100\",\"phases\":[{\"count\":2,\"cpu\":100,\"gpu\":1,"
                    + "\"estimate_ms\":100,\"gang\":true,\"rack_local\":true},"
                    + "{\"count\":1,\"after\":[0],\"affinity\":\"r1-0\"}]}";

    private Rehearsal() {}

    /**
     * Writes the settings file that the argument names, waits for the daemon that reads it, and
     * hands jobs in. Exits with 1 if nothing ran.
     */
    public static void main(String[] arguments) throws Exception {
        EventLoopGroup loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        PlatformStandIn platform = new PlatformStandIn(loop);
        platform.start(EXECUTORS);
        int[] ports = freePorts();
        Files.write(
                Path.of(arguments[0]),
                platform.settings("vm-1", ports[0], ports[1], ports[2], GRACE_S));
        HostPort callers = new HostPort(PlatformStandIn.HOST, ports[0]);
        HostPort readiness = new HostPort(PlatformStandIn.HOST, ports[1]);
        HttpClient http = new HttpClient(loop, (int) TIMEOUT_MS, 1 << 20);
        waitUntilReady(http, readiness);
        for (int i = 0; i < JOBS; i++) {
            String path = PlatformStandIn.PREFIX + String.format("%016x", i);
            call(http, callers, "POST", path, BODY);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
            call(http, callers, "GET", path, "");
            if (i % 2 == 0) {
                call(http, callers, "DELETE", path, "");
            }
        }
        call(http, callers, "GET", PlatformStandIn.PREFIX, "");
        System.exit(platform.book().starts() > 0 ? 0 : 1);
    }

    private static void waitUntilReady(HttpClient http, HostPort readiness) throws Exception {
        for (int i = 0; i < READY_TRIES; i++) {
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
            // The daemon does not listen yet.
            return false;
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

    private static BufferedHttpResponse call(
            HttpClient http, HostPort to, String method, String path, String body)
            throws Exception {
        Map<String, String> headers = Map.of("Authorization", "Token " + PlatformStandIn.KEY);
        return http.call(
                        to,
                        method,
                        path,
                        headers,
                        body.getBytes(StandardCharsets.UTF_8),
                        TIMEOUT_MS)
                .get(TIMEOUT_MS, TimeUnit.MILLISECONDS);
    }
}
