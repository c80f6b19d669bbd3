import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/** A small deployment: a store, executors, and daemons as separate processes. */
final class Deployment {
    static final String HOST = "nony24.example";
    static final String PREFIX = "/lohu930/";
    static final String KEY = "k-3f0c";
    static final String SERVICE = "dele69a";
    static final long HOLD_MAX_MS = 6_000;

    /** A daemon, started with the command of the deploy file. */
    final class Daemon {
        final String name;
        final String front;
        final String ready;
        final String control;
        Process process;

        Daemon(String name) throws IOException {
            this.name = name;
            int[] ports = freePorts(3);
            front = "127.0.0.1:" + ports[0];
            ready = "127.0.0.1:" + ports[1];
            control = "127.0.0.1:" + ports[2];
        }

        private void start(List<String> seeds) throws IOException {
            Path settings = mFolder.resolve(name + ".json");
            Files.writeString(settings, settings(this, seeds));
            ProcessBuilder builder = new ProcessBuilder(mCommand);
            builder.directory(mRoot.toFile());
            Map<String, String> environment = builder.environment();
            environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            environment.put("LYCHEEROAD_NODE_FILE", settings.toString());
            environment.put("LYCHEEROAD_METRICS_PORT", Integer.toString(freePorts(1)[0]));
            File log = mFolder.resolve(name + ".log").toFile();
            builder.redirectErrorStream(true).redirectOutput(log);
            process = builder.start();
            record.add("start   daemon %s, process %d", name, process.pid());
        }

        boolean isReady() {
            return Http.call(ready, Http.request("GET", HOST, "/readyz", KEY, null), 500).status()
                    == 200;
        }

        void kill() {
            record.add("SIGKILL daemon %s", name);
            process.destroyForcibly();
        }

        Http.Answer call(String method, String path, String body) {
            Http.Answer answer =
                    Http.call(front, Http.request(method, HOST, path, KEY, body), 3_000);
            record.add("call    %s %s %s -> %d %s", name, method, path, answer.status(), answer.body());
            return answer;
        }
    }

    final Record record;
    final Store store;
    final Ledger ledger;
    final List<Executor> executors = new ArrayList<>();
    final List<Daemon> daemons = new ArrayList<>();
    private final Path mRoot;
    private final Path mFolder;
    private final List<String> mCommand;
    private final ObjectMapper mMapper = new ObjectMapper();
    private long mVersion = 40;

    Deployment(Path root, Record record) throws IOException {
        mRoot = root;
        this.record = record;
        mFolder = Files.createTempDirectory("lycheeroad-review");
        mCommand = command(root);
        store = new Store();
        ledger = new Ledger(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::stop));
    }

    Executor addExecutor(String kind, String rack) throws IOException {
        String id = String.format("i-%04x", 0x7f01 + executors.size());
        Executor executor =
                new Executor(id, SERVICE, kind, rack, 8, store, ledger, HOLD_MAX_MS);
        executors.add(executor);
        return executor;
    }

    /** Writes a configuration with one queue. */
    void writeConfig(int maxAttempts) {
        ObjectNode config = mMapper.createObjectNode().put("version", mVersion);
        mVersion += 3;
        ObjectNode route = config.putArray("routes").addObject();
        route.put("name", "q-lohu930").put("host", HOST).put("path_prefix", PREFIX);
        route.put("service", SERVICE).put("priority", 1).put("max_attempts", maxAttempts);
        route.put("slack_factor", 3.0).put("target_latency_ms", 1_000);
        config.putArray("services").addObject().put("name", SERVICE).put("enforces_capacity", false);
        ObjectNode tenant = config.putArray("tenants").addObject().put("name", "t-1");
        tenant.putArray("api_keys").add(KEY);
        tenant.putObject("guaranteed").put("gpu", 8);
        config.putObject("limits");
        store.write("op/config", config.toString());
    }

    /** Starts daemons and waits until all are ready and the executors have been heard. */
    void startDaemons(int count) throws IOException {
        int tries = 0;
        while (!tryStartDaemons(count)) {
            // Another process may have taken a port that was free.
            daemons.forEach(daemon -> daemon.process.destroyForcibly());
            daemons.clear();
            if (++tries == 3) {
                throw new IOException("the daemons are not ready");
            }
        }
        // Traffic starts some seconds after the machines do.
        Threads.sleep(3_000);
    }

    private boolean tryStartDaemons(int count) throws IOException {
        for (int i = 0; i < count; i++) {
            daemons.add(new Daemon("edge-" + (i + 1)));
        }
        List<String> seeds = daemons.stream().map(d -> d.control).limit(3).toList();
        for (Daemon daemon : daemons) {
            daemon.start(seeds);
        }
        long endMs = record.nowMs() + 15_000;
        while (!daemons.stream().allMatch(Daemon::isReady)) {
            if (record.nowMs() > endMs
                    || !daemons.stream().allMatch(daemon -> daemon.process.isAlive())) {
                return false;
            }
            Threads.sleep(100);
        }
        return true;
    }

    /** The daemon that last became the owner, as the platform sees it: it wrote the owner's key. */
    Daemon leader() throws IOException {
        String owner = store.read("lycheeroad/owner");
        for (Daemon daemon : daemons) {
            if (owner.contains('"' + daemon.name + '"')) {
                return daemon;
            }
        }
        throw new IOException("no daemon is the leader");
    }

    void stop() {
        daemons.forEach(
                daemon -> {
                    if (daemon.process != null) {
                        daemon.process.destroyForcibly();
                    }
                });
        if (System.getenv("KEEP_LOGS") != null) {
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("cannot remove " + mFolder + ": " + e);
        }
    }

    Path folder() {
        return mFolder;
    }

    private String settings(Daemon daemon, List<String> seeds) {
        ObjectNode settings = mMapper.createObjectNode();
        settings.put("node_name", daemon.name).put("role", "node").put("machine_class", "edge");
        settings.put("ip", "127.0.0.1").put("zone", "z1").put("region", "r1");
        settings.putObject("zones").put("z1", "r1");
        settings.putObject("listen")
                .put("front", daemon.front)
                .put("ready", daemon.ready)
                .put("control", daemon.control);
        ArrayNode list = settings.putArray("seeds");
        seeds.forEach(list::add);
        settings.put("bootstrap", true).put("heartbeat_ms", 1_500).put("orders", "invoke");
        settings.putObject("limits")
                .put("cpu_share", 0.75)
                .put("cores", 1)
                .put("memory_mb", 430)
                .put("max_fds", 4_100);
        settings.putObject("bounds")
                .put("contact_ms", 4_000)
                .put("ack_ms", 5_000)
                .put("drain_ms", 3_000)
                .put("grace_s", 6)
                .put("config_apply_ms", 3_000)
                .put("hold_max_ms", HOLD_MAX_MS)
                .put("stop_ms", 200)
                .put("gang_timeout_ms", 3_000)
                .put("cancel_ms", 3_000)
                .put("visible_ms", 3_000)
                .put("early_ms", 250)
                .put("finish_s", 14)
                .put("status_s", 120)
                .put("remote_factor", 3)
                .put("checkpoint_s", 1)
                .put("restore_ms", 250)
                .put("reclaim_ms", 2_700);
        settings.putObject("platform")
                .put("address", store.address())
                .put("form", "kv")
                .put("writes_per_s", 400)
                .put("reads_per_s", 2_000)
                .put("history_s", 20)
                .put("value_bytes", 1_048_576)
                .put("ttl_min_ms", 1_000);
        return settings.toString();
    }

    /** Returns the words of the deploy file's command. */
    private static List<String> command(Path root) throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("run = ")) {
                List<String> words =
                        new ArrayList<>(
                                List.of(
                                        line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'))
                                                .split(" ")));
                String home = System.getenv("JAVA_HOME");
                if (words.get(0).equals("java") && home != null) {
                    words.set(0, home + "/bin/java");
                }
                return words;
            }
        }
        throw new IOException("the deploy file has no command");
    }

    private static int[] freePorts(int count) throws IOException {
        ServerSocket[] sockets = new ServerSocket[count];
        int[] ports = new int[count];
        for (int i = 0; i < count; i++) {
            sockets[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
            ports[i] = sockets[i].getLocalPort();
        }
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }
}
