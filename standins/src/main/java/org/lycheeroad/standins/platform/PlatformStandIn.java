package org.lycheeroad.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.state.topology.HostPort;

/**
 * A small platform on loopback: a store with a configuration, executors and a placement-policy
 * service.
 */
public final class PlatformStandIn {
    /** The host name in the routes of all queues. */
    public static final String HOST = "127.0.0.1";

    /** Path prefix of the queue without a placement policy. */
    public static final String PATH_PREFIX = "/jobs/";

    /** Path prefix of the queue with a placement policy. */
    public static final String ADVISED_PATH_PREFIX = "/advised/";

    /** The API key in the initial configuration. */
    public static final String API_KEY = "key-1";

    /** The zone of the daemons, and of executors unless another one is named. */
    public static final String ZONE = "z1";

    private static final String SERVICE = "render";
    private static final int EXECUTORS_PER_RACK = 2;

    private final EventLoopGroup mEventLoops;
    private final StoreServer mStore;
    private final PlacementAdviceServer mAdvice;
    private final RunRecorder mRecorder = new RunRecorder();
    private final List<ExecutorServer> mExecutors = new ArrayList<>();
    private final ObjectMapper mMapper = new ObjectMapper();
    private long mNextConfigVersion = 1;
    private final List<StoreAccess> mStoreAccesses = new ArrayList<>();
    private int mStatusRetentionSeconds = 120;

    public PlatformStandIn(EventLoopGroup eventLoops) {
        mEventLoops = eventLoops;
        mStore = new StoreServer(loopbackAnyPort(), eventLoops);
        mAdvice = new PlacementAdviceServer(loopbackAnyPort(), eventLoops);
    }

    /**
     * Starts the services and the given number of executors, and writes the initial configuration.
     */
    public void start(int executors) throws IOException {
        mStore.start();
        mAdvice.start();
        for (int i = 0; i < executors; i++) {
            addExecutor();
        }
        writeConfig(API_KEY);
    }

    /** Starts one more executor and registers it in the store. */
    public void addExecutor() throws IOException {
        addExecutor(ZONE);
    }

    /** Starts one more executor in a zone and registers it in the store. */
    public void addExecutor(String zone) throws IOException {
        int number = mExecutors.size();
        ExecutorServer executor =
                new ExecutorServer(
                        "i-" + number,
                        "r1-" + number / EXECUTORS_PER_RACK,
                        zone,
                        loopbackAnyPort(),
                        mEventLoops,
                        mRecorder);
        executor.start();
        mExecutors.add(executor);
        mStore.write("servers/" + executor.id(), executor.registration(SERVICE, "ready"));
    }

    /** Stops all servers. */
    public void stop() {
        mExecutors.forEach(ExecutorServer::stop);
        mStoreAccesses.forEach(StoreAccess::stop);
        mAdvice.stop();
        mStore.stop();
    }

    /** Writes a new version of the configuration in which the given API key is the only one. */
    public void writeConfig(String apiKey) {
        ObjectNode config = newConfig(apiKey);
        ArrayNode routes = config.putArray("routes");
        putRoute(routes.addObject(), "q-1", PATH_PREFIX);
        putRoute(routes.addObject(), "q-2", ADVISED_PATH_PREFIX)
                .putObject("advice")
                .put("decide_ms", 20)
                .put("period_ms", 1)
                .put("valid_ms", 3_000);
        mStore.write("op/config", config.toString());
    }

    /** Writes a new version of the configuration that has no queue. */
    public void writeConfigWithoutQueues() {
        mStore.write("op/config", newConfig(API_KEY).toString());
    }

    private ObjectNode newConfig(String apiKey) {
        ObjectNode config = mMapper.createObjectNode().put("version", mNextConfigVersion++);
        config.putArray("services").addObject().put("name", SERVICE);
        ObjectNode tenant = config.putArray("tenants").addObject().put("name", "team-1");
        tenant.putArray("api_keys").add(apiKey);
        tenant.putObject("guaranteed").put("gpu", 8);
        return config;
    }

    /** Returns the store. */
    public StoreServer store() {
        return mStore;
    }

    /** Returns the executors. */
    public List<ExecutorServer> executors() {
        return List.copyOf(mExecutors);
    }

    /** Returns the placement-policy service. */
    public PlacementAdviceServer advice() {
        return mAdvice;
    }

    /**
     * Sets how long the status of finished jobs is kept, in seconds; applies to settings files
     * created later.
     */
    public void setStatusRetentionSeconds(int retentionSeconds) {
        mStatusRetentionSeconds = retentionSeconds;
    }

    /** Returns the recorder of all runs. */
    public RunRecorder recorder() {
        return mRecorder;
    }

    /** Opens an address at which one VM reaches the store. */
    public StoreAccess addStoreAccess() throws IOException {
        StoreAccess access = new StoreAccess(mStore, loopbackAnyPort(), mEventLoops);
        access.start();
        mStoreAccesses.add(access);
        return access;
    }

    /**
     * Returns the settings file of the daemon on one VM, which is its own seed and reaches the
     * store directly; {@code graceS} is its shutdown grace period in seconds.
     */
    public byte[] daemonSettings(
            String name, int frontPort, int readyPort, int controlPort, int graceS) {
        return daemonSettings(
                name,
                frontPort,
                readyPort,
                controlPort,
                graceS,
                mStore.address(),
                List.of(controlPort));
    }

    /** Returns the settings file of the daemon on one VM with the control ports of its seeds. */
    public byte[] daemonSettings(
            String name,
            int frontPort,
            int readyPort,
            int controlPort,
            int graceS,
            HostPort store,
            List<Integer> seedPorts) {
        ObjectNode settings = mMapper.createObjectNode().put("node_name", name);
        settings.put("zone", ZONE).put("region", "r1");
        settings.putObject("listen")
                .put("front", "127.0.0.1:" + frontPort)
                .put("ready", "127.0.0.1:" + readyPort)
                .put("control", "127.0.0.1:" + controlPort);
        ArrayNode seeds = settings.putArray("seeds");
        seedPorts.forEach(port -> seeds.add("127.0.0.1:" + port));
        settings.put("advice", mAdvice.address().toString());
        settings.putObject("bounds")
                .put("hold_max_ms", 6_000)
                .put("reclaim_ms", 2_700)
                .put("gang_timeout_ms", 3_000)
                .put("remote_factor", 3)
                .put("status_s", mStatusRetentionSeconds)
                .put("config_apply_ms", 3_000)
                .put("evacuation_ms", 5_000)
                .put("grace_s", graceS);
        settings.putObject("platform").put("address", store.toString()).put("ttl_min_ms", 1_000);
        return settings.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static ObjectNode putRoute(ObjectNode route, String name, String prefix) {
        return route.put("name", name)
                .put("host", HOST)
                .put("path_prefix", prefix)
                .put("service", SERVICE)
                .put("priority", 0)
                .put("max_attempts", 3)
                .put("slack_factor", 3.0)
                .put("target_latency_ms", 1_000);
    }

    private static HostPort loopbackAnyPort() {
        return new HostPort("127.0.0.1", 0);
    }
}
