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

/** A small platform on loopback: a store with a configuration, executors and advice. */
public final class PlatformStandIn {
    /** The host name of all queues. */
    public static final String HOST = "127.0.0.1";

    /** The start of the paths of the plain queue. */
    public static final String PREFIX = "/jobs/";

    /** The start of the paths of the queue with a placement policy. */
    public static final String ADVISED_PREFIX = "/advised/";

    /** The only API key. */
    public static final String KEY = "key-1";

    private static final String SERVICE = "render";
    private static final int PER_RACK = 2;

    private final EventLoopGroup mLoop;
    private final StoreServer mStore;
    private final AdviceServer mAdvice;
    private final RunBook mBook = new RunBook();
    private final List<ExecutorServer> mExecutors = new ArrayList<>();
    private final ObjectMapper mMapper = new ObjectMapper();
    private long mVersion = 1;
    private int mStatusS = 120;

    public PlatformStandIn(EventLoopGroup loop) {
        mLoop = loop;
        mStore = new StoreServer(anyPort(), loop);
        mAdvice = new AdviceServer(anyPort(), loop);
    }

    /** Starts the store and some executors, and writes the first configuration. */
    public void start(int executors) throws IOException {
        mStore.start();
        mAdvice.start();
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
        mAdvice.stop();
        mStore.stop();
    }

    /** Writes a new version of the configuration with one API key. */
    public void configure(String key) {
        ObjectNode config = mMapper.createObjectNode().put("version", mVersion++);
        ArrayNode routes = config.putArray("routes");
        putRoute(routes.addObject(), "q-1", PREFIX);
        putRoute(routes.addObject(), "q-2", ADVISED_PREFIX)
                .putObject("advice")
                .put("decide_ms", 20)
                .put("period_ms", 1)
                .put("valid_ms", 3_000);
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

    /** Returns the service for placement policies. */
    public AdviceServer advice() {
        return mAdvice;
    }

    /** Sets how long ended jobs are shown, in seconds, in settings that are made later. */
    public void setStatusS(int statusS) {
        mStatusS = statusS;
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
        all.put("advice", mAdvice.address().toString());
        all.putObject("bounds")
                .put("hold_max_ms", 6_000)
                .put("reclaim_ms", 2_700)
                .put("gang_timeout_ms", 3_000)
                .put("remote_factor", 3)
                .put("status_s", mStatusS)
                .put("config_apply_ms", 3_000)
                .put("grace_s", graceS);
        all.putObject("platform")
                .put("address", mStore.address().toString())
                .put("ttl_min_ms", 1_000);
        return all.toString().getBytes(StandardCharsets.UTF_8);
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

    private static HostPort anyPort() {
        return new HostPort("127.0.0.1", 0);
    }
}
