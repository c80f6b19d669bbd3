package org.lycheeroad.standins.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.state.topology.HostPort;

/** A small platform on loopback: a store with a configuration, and executors. */
public final class PlatformStandIn {
    /** The host name of the only queue. */
    public static final String HOST = "127.0.0.1";

    /** The start of the paths of the only queue. */
    public static final String PREFIX = "/jobs/";

    /** The only API key. */
    public static final String KEY = "key-1";

    private static final String SERVICE = "render";
    private static final int PER_RACK = 2;

    private final EventLoopGroup mLoop;
    private final StoreServer mStore;
    private final RunBook mBook = new RunBook();
    private final List<ExecutorServer> mExecutors = new ArrayList<>();
    private final ObjectMapper mMapper = new ObjectMapper();
    private long mVersion = 1;

    public PlatformStandIn(EventLoopGroup loop) {
        mLoop = loop;
        mStore = new StoreServer(anyPort(), loop);
    }

    /** Starts the store and some executors, and writes the first configuration. */
    public void start(int executors) throws IOException {
        mStore.start();
        for (int i = 0; i < executors; i++) {
            ExecutorServer executor =
                    new ExecutorServer("i-" + i, "r1-" + i / PER_RACK, anyPort(), mLoop, mBook);
            executor.start();
            mExecutors.add(executor);
            mStore.write("servers/" + executor.id(), executor.entry(SERVICE, "ready"));
        }
        configure(KEY);
    }

    /** Stops all. */
    public void stop() {
        mExecutors.forEach(ExecutorServer::stop);
        mStore.stop();
    }

    /** Writes a new version of the configuration with one API key. */
    public void configure(String key) {
        ObjectNode config = mMapper.createObjectNode().put("version", mVersion++);
        config.putArray("routes")
                .addObject()
                .put("name", "q-1")
                .put("host", HOST)
                .put("path_prefix", PREFIX)
                .put("service", SERVICE)
                .put("priority", 0)
                .put("max_attempts", 3)
                .put("slack_factor", 3.0)
                .put("target_latency_ms", 1_000);
        config.putArray("services").addObject().put("name", SERVICE);
        ObjectNode tenant = config.putArray("tenants").addObject().put("name", "team-1");
        tenant.putArray("api_keys").add(key);
        tenant.putObject("guaranteed").put("gpu", 8);
        mStore.write("op/config", config.toString());
    }

    /** Returns the store. */
    public StoreServer store() {
        return mStore;
    }

    /** Returns the executors. */
    public List<ExecutorServer> executors() {
        return List.copyOf(mExecutors);
    }

    /** Returns what ran. */
    public RunBook book() {
        return mBook;
    }

    /** Returns the settings file of one VM with the time that it has to shut down, in seconds. */
    public byte[] settings(String name, int front, int ready, int control, int graceS) {
        ObjectNode all = mMapper.createObjectNode().put("node_name", name);
        all.put("zone", "z1").put("region", "r1");
        all.putObject("listen")
                .put("front", "127.0.0.1:" + front)
                .put("ready", "127.0.0.1:" + ready)
                .put("control", "127.0.0.1:" + control);
        all.putArray("seeds").add("127.0.0.1:" + control);
        all.putObject("bounds")
                .put("hold_max_ms", 6_000)
                .put("reclaim_ms", 2_700)
                .put("gang_timeout_ms", 3_000)
                .put("remote_factor", 3)
                .put("status_s", 120)
                .put("config_apply_ms", 3_000)
                .put("grace_s", graceS);
        all.putObject("platform")
                .put("address", mStore.address().toString())
                .put("ttl_min_ms", 1_000);
        return all.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static HostPort anyPort() {
        return new HostPort("127.0.0.1", 0);
    }
}
