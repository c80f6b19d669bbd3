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
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.lycheeroad.platform.PlatformDaemon;
import org.lycheeroad.standins.platform.PlatformStandIn;
import org.lycheeroad.standins.platform.StoreAccess;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;

/** Test fixture: a stand-in platform with daemons, all in this process. */
final class PlatformFixture implements AutoCloseable {
    private static final int TIMEOUT_MS = 5_000;
    private static final int PORTS_PER_DAEMON = 3;
    private static final int SHUTDOWN_GRACE_SECONDS = 1;
    private static final int DEFAULT_STATUS_RETENTION_SECONDS = 120;
    private static final Pattern OWNER_NAME = Pattern.compile("\"vm-(\\d+)\"");

    public final PlatformStandIn platform;
    public final List<PlatformDaemon> daemons = new ArrayList<>();

    /** The access of each daemon to the store, by the daemon's index. */
    public final List<StoreAccess> storeAccesses = new ArrayList<>();

    private final List<HostPort> mPeerAddresses = new ArrayList<>();
    private final List<byte[]> mSettings = new ArrayList<>();
    private final EventLoopGroup mEventLoopGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mHttp = new HttpClient(mEventLoopGroup, TIMEOUT_MS, 1 << 20);

    PlatformFixture(int executorCount, int vmCount) throws Exception {
        this(executorCount, vmCount, DEFAULT_STATUS_RETENTION_SECONDS);
    }

    /** Creates a platform that keeps the status of ended jobs for the given number of seconds. */
    PlatformFixture(int executorCount, int vmCount, int statusRetentionSeconds) throws Exception {
        platform = new PlatformStandIn(mEventLoopGroup);
        platform.setStatusRetentionSeconds(statusRetentionSeconds);
        platform.start(executorCount);
        List<int[]> ports = new ArrayList<>();
        for (int i = 0; i < vmCount; i++) {
            ports.add(findFreePorts());
        }
        List<Integer> seedPorts = ports.stream().map(p -> p[2]).toList();
        for (int i = 0; i < vmCount; i++) {
            mPeerAddresses.add(new HostPort("127.0.0.1", ports.get(i)[2]));
            StoreAccess access = platform.addStoreAccess();
            storeAccesses.add(access);
            byte[] settings =
                    platform.daemonSettings(
                            "vm-" + i,
                            ports.get(i)[0],
                            ports.get(i)[1],
                            ports.get(i)[2],
                            SHUTDOWN_GRACE_SECONDS,
                            access.address(),
                            seedPorts);
            mSettings.add(settings);
            daemons.add(startDaemon(settings));
        }
        for (int i = 0; i < vmCount; i++) {
            awaitReady(i);
        }
        await("the owner serves requests", () -> get(0, "").status() == 200);
    }

    /** Stops a daemon and starts a new process life of it with the same settings. */
    void restart(int vm) throws Exception {
        daemons.get(vm).stopNow();
        // The client must not send a request on a connection that the stop has closed.
        mHttp.closeIdleConnections();
        daemons.set(vm, startDaemon(mSettings.get(vm)));
        awaitReady(vm);
    }

    private static PlatformDaemon startDaemon(byte[] settings) throws Exception {
        PlatformDaemon daemon = new PlatformDaemon(settings);
        daemon.start();
        return daemon;
    }

    private void awaitReady(int vm) {
        await(
                "daemon " + vm + " is ready",
                () -> get(daemons.get(vm).readinessAddress(), "/readyz") == 200);
    }

    /** Waits until a daemon is the owner and returns its index. */
    int awaitOwner() {
        await("an owner is elected", () -> ownerIndex() >= 0);
        return ownerIndex();
    }

    private int ownerIndex() {
        Matcher name = OWNER_NAME.matcher(platform.store().read("lycheeroad/owner"));
        return name.find() ? Integer.parseInt(name.group(1)) : -1;
    }

    @Override
    public void close() {
        daemons.forEach(PlatformDaemon::stopNow);
        platform.stop();
        mEventLoopGroup.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    BufferedHttpResponse submit(int vm, String id, String spec, String phase) {
        return call(
                vm,
                "POST",
                id,
                PlatformStandIn.API_KEY,
                "{\"spec\":\"" + spec + "\",\"phases\":[" + phase + "]}");
    }

    BufferedHttpResponse callQueueWithPlacementPolicy(
            int vm, String method, String id, String body) {
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

    /** Waits until a daemon, as owner, starts nothing in exactly these failure domains. */
    void awaitEvacuations(int vm, String... domains) {
        String lines = Stream.of(domains).map(d -> d + "\n").collect(Collectors.joining());
        await(
                List.of(domains) + " are evacuated",
                () -> {
                    BufferedHttpResponse response =
                            call(mPeerAddresses.get(vm), "GET", "/v1/evacuations", "", "");
                    return response.status() == 200 && response.text().equals(lines);
                });
    }

    static String jobId(int number) {
        return String.format("%016x", number);
    }

    static void await(String description, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(20);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("condition not met within 20 s: " + description);
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

    private int get(HostPort address, String path) {
        return call(address, "GET", path, "", "").status();
    }

    private BufferedHttpResponse call(
            HostPort address, String method, String path, String key, String body) {
        try {
            return mHttp.call(
                            address,
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

    private static int[] findFreePorts() throws IOException {
        int[] ports = new int[PORTS_PER_DAEMON];
        ServerSocket[] sockets = new ServerSocket[PORTS_PER_DAEMON];
        for (int i = 0; i < PORTS_PER_DAEMON; i++) {
            sockets[i] = new ServerSocket(0);
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
