package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/** A small installation: daemons as processes, and stand-ins for the platform around them. */
final class Cluster implements AutoCloseable {
    static final String SERVICE = "planner";
    static final String HOST = "nony24.example";
    static final String API_KEY = "d4a3hwrr6x73d3zji9n7";
    private static final int ANSWER_MS = 3_000;

    /** A route of the configuration. */
    record Route(String name, String prefix, int priority, int maxAttempts, double slackFactor) {}

    /** A tenant of the configuration, with its API keys and guaranteed accelerators. */
    record Tenant(String name, List<String> keys, int gpu) {}

    /** The answer to a call; status 0 if there was none. */
    record Answer(int status, String text) {}

    private static final class Daemon {
        String mName;
        String mHost;
        int mFront;
        int mMetrics;
        Path mSettings;
        Process mProcess;
    }

    private final Record mRecord;
    private final Ledger mLedger;
    private final Store mStore = new Store();
    private final List<Executor> mExecutors = new ArrayList<>();
    private final Map<String, Daemon> mDaemons = new LinkedHashMap<>();
    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofMillis(ANSWER_MS))
                    .build();
    private final Path mFolder = Files.createTempDirectory("lycheeroad-review");
    private long mHoldMaxMs = 6_000;
    private long mVersion = 6;
    private boolean mClosed;

    Cluster(Record record) throws IOException {
        mRecord = record;
        mLedger = new Ledger(record);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Sets the longest lease of executors; applies to executors and daemons started later. */
    void setHoldMaxMs(long holdMaxMs) {
        mHoldMaxMs = holdMaxMs;
    }

    Ledger ledger() {
        return mLedger;
    }

    List<Executor> executors() {
        return mExecutors;
    }

    Executor addExecutor(String id, String kind, String rack, int cpu) throws IOException {
        Executor executor = new Executor(id, kind, rack, cpu, mHoldMaxMs, mStore, mLedger);
        mExecutors.add(executor);
        return executor;
    }

    /** Writes a new version of the configuration, with these routes and one tenant. */
    void writeConfig(Route... routes) {
        writeConfig(List.of(new Tenant("kaje80", List.of(API_KEY), 8)), routes);
    }

    /** Writes a new version of the configuration, with these tenants and routes. */
    void writeConfig(List<Tenant> tenants, Route... routes) {
        ObjectNode config = Http.JSON.createObjectNode().put("version", ++mVersion);
        ArrayNode rows = config.putArray("routes");
        for (Route route : routes) {
            rows.addObject()
                    .put("name", route.name)
                    .put("host", HOST)
                    .put("path_prefix", route.prefix)
                    .put("kind", "non_idempotent")
                    .put("timeout_ms", 3_000)
                    .put("target_latency_ms", 600)
                    .put("priority", route.priority)
                    .put("service", SERVICE)
                    .put("max_attempts", route.maxAttempts)
                    .put("slack_factor", route.slackFactor)
                    .put("anonymous", false);
        }
        config.putArray("services")
                .addObject()
                .put("name", SERVICE)
                .put("health_path", "/healthz")
                .put("max_conns", 64)
                .put("protocol", "h1")
                .put("tls", false)
                .put("enforces_capacity", false)
                .put("standby", false);
        config.putObject("limits")
                .put("max_header_bytes", 16_384)
                .put("max_body_bytes", 262_144)
                .put("header_timeout_ms", 3_000)
                .put("idle_timeout_ms", 15_000);
        ArrayNode tenantRows = config.putArray("tenants");
        for (Tenant tenant : tenants) {
            ObjectNode row = tenantRows.addObject().put("name", tenant.name).put("priority", 1);
            ArrayNode keys = row.putArray("api_keys");
            tenant.keys.forEach(keys::add);
            row.putObject("guaranteed").put("gpu", tenant.gpu);
        }
        mStore.write("op/config", config.toString());
        mRecord.line("operator writes version %d: %s, %s", mVersion, tenants, List.of(routes));
    }

    /** Starts daemons, each at a loopback address of its own, and waits until they are ready. */
    void startDaemons(int count) throws IOException {
        List<int[]> ports = new ArrayList<>();
        List<String> seeds = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            String host = "127.0.0." + (11 + i);
            int[] free = new int[4];
            for (int j = 0; j < free.length; j++) {
                free[j] = Http.freePort(host);
            }
            ports.add(free);
            if (seeds.size() < 3) {
                seeds.add(host + ":" + free[2]);
            }
        }
        for (int i = 0; i < count; i++) {
            Daemon daemon = new Daemon();
            daemon.mName = "edge-z1-" + (i + 1);
            daemon.mHost = "127.0.0." + (11 + i);
            daemon.mFront = ports.get(i)[0];
            daemon.mMetrics = ports.get(i)[3];
            daemon.mSettings = mFolder.resolve(daemon.mName + ".json");
            String settings = settings(daemon, ports.get(i), seeds).toString();
            Files.writeString(daemon.mSettings, settings);
            mDaemons.put(daemon.mName, daemon);
            start(daemon);
        }
        for (Daemon daemon : mDaemons.values()) {
            awaitAnswer(daemon);
        }
    }

    private ObjectNode settings(Daemon daemon, int[] ports, List<String> seeds) throws IOException {
        Path template = Path.of("review/harness/settings.json");
        ObjectNode settings = (ObjectNode) Http.JSON.readTree(Files.readAllBytes(template));
        settings.put("node_name", daemon.mName).put("ip", daemon.mHost);
        settings.putObject("listen")
                .put("front", daemon.mHost + ":" + ports[0])
                .put("ready", daemon.mHost + ":" + ports[1])
                .put("control", daemon.mHost + ":" + ports[2]);
        ArrayNode rows = settings.putArray("seeds");
        seeds.forEach(rows::add);
        ((ObjectNode) settings.path("bounds")).put("hold_max_ms", mHoldMaxMs);
        ((ObjectNode) settings.path("platform")).put("address", "127.0.0.1:" + mStore.port());
        return settings;
    }

    private synchronized void start(Daemon daemon) throws IOException {
        if (mClosed) {
            return;
        }
        String line =
                Files.readAllLines(Path.of("deploy/system.toml")).stream()
                        .filter(l -> l.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        ProcessBuilder builder = new ProcessBuilder(command.split(" "));
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("LYCHEEROAD_NODE_FILE", daemon.mSettings.toString());
        environment.put("LYCHEEROAD_METRICS_PORT", Integer.toString(daemon.mMetrics));
        builder.redirectErrorStream(true);
        builder.redirectOutput(
                ProcessBuilder.Redirect.appendTo(mFolder.resolve(daemon.mName + ".log").toFile()));
        daemon.mProcess = builder.start();
        mRecord.line("%s started, process %d", daemon.mName, daemon.mProcess.pid());
    }

    private void awaitAnswer(Daemon daemon) {
        for (int i = 0; i < 200; i++) {
            if (call(daemon.mName, "GET", "/nowhere/", "").status == 404) {
                return;
            }
            Http.sleep(50);
        }
        throw new IllegalStateException(daemon.mName + " does not answer");
    }

    List<String> daemons() {
        return List.copyOf(mDaemons.keySet());
    }

    /** Returns the daemon that has taken the leadership in the store, or an empty string. */
    String leader() {
        try {
            JsonNode owner = Http.JSON.readTree(mStore.read("lycheeroad/owner"));
            return owner.path("name").isTextual()
                    ? owner.path("name").asText()
                    : owner.path("name").path("value").asText();
        } catch (IOException e) {
            return "";
        }
    }

    /** Waits until some daemon leads. */
    String awaitLeader() {
        for (int i = 0; i < 400; i++) {
            String leader = leader();
            if (!leader.isEmpty()) {
                return leader;
            }
            Http.sleep(25);
        }
        throw new IllegalStateException("no leader");
    }

    /** Kills a daemon's process; the platform starts it again after a short delay. */
    void kill(String name, long downMs) throws IOException {
        Daemon daemon = mDaemons.get(name);
        mRecord.line("%s gets SIGKILL", name);
        daemon.mProcess.destroyForcibly();
        restart(daemon, downMs);
    }

    /** Stops a daemon with SIGTERM and starts it again when it has exited. */
    void roll(String name, long downMs) throws IOException {
        Daemon daemon = mDaemons.get(name);
        mRecord.line("%s gets SIGTERM", name);
        daemon.mProcess.destroy();
        restart(daemon, downMs);
    }

    private void restart(Daemon daemon, long downMs) {
        Process old = daemon.mProcess;
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                old.waitFor(6, TimeUnit.SECONDS);
                                old.destroyForcibly();
                                old.waitFor();
                                mRecord.line("%s has ended", daemon.mName);
                                Thread.sleep(downMs);
                                start(daemon);
                            } catch (IOException | InterruptedException e) {
                                mRecord.line("%s not restarted: %s", daemon.mName, e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
    }

    /** Sends a call to a daemon; the answer has status 0 if none came in time. */
    Answer call(String name, String method, String path, String body) {
        return call(API_KEY, name, method, path, body);
    }

    /** The same with an API key. */
    Answer call(String key, String name, String method, String path, String body) {
        Daemon daemon = mDaemons.get(name);
        HttpRequest request =
                HttpRequest.newBuilder(
                                URI.create("http://" + daemon.mHost + ":" + daemon.mFront + path))
                        .timeout(Duration.ofMillis(ANSWER_MS))
                        .header("Host", HOST)
                        .header("Authorization", "Token " + key)
                        .header("X-Lycheeroad-Deadline-Ms", Integer.toString(ANSWER_MS))
                        .header("Content-Type", "application/json")
                        .method(
                                method,
                                body.isEmpty()
                                        ? HttpRequest.BodyPublishers.noBody()
                                        : HttpRequest.BodyPublishers.ofString(body))
                        .build();
        Answer answer;
        try {
            HttpResponse<String> response =
                    mClient.send(request, HttpResponse.BodyHandlers.ofString());
            answer = new Answer(response.statusCode(), response.body());
        } catch (IOException e) {
            answer = new Answer(0, String.valueOf(e.getMessage()));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
        mRecord.line(
                "client %s %s %s %s -> %d %s",
                name, method, path, body, answer.status, answer.text);
        return answer;
    }

    /** Hands a job in at one daemon after the other until one accepts it. */
    void submit(String path, String body) {
        submit(API_KEY, path, body);
    }

    /** The same with an API key. */
    void submit(String key, String path, String body) {
        for (int i = 0; i < 20; i++) {
            String name = daemons().get(i % daemons().size());
            if (call(key, name, "POST", path, body).status == 200) {
                return;
            }
            Http.sleep(200);
        }
        throw new IllegalStateException("job was not accepted: " + path);
    }

    /** Asks the daemons in turn for the state of a job until one answers with it. */
    String state(String path) {
        for (int i = 0; i < 10; i++) {
            Answer answer = call(daemons().get(i % daemons().size()), "GET", path, "");
            if (answer.status == 200) {
                try {
                    return Http.JSON.readTree(answer.text).path("state").asText();
                } catch (IOException e) {
                    return answer.text;
                }
            }
            if (answer.status == 410) {
                return "410";
            }
            Http.sleep(200);
        }
        return "";
    }

    /** Ends all processes that were started. */
    @Override
    public synchronized void close() {
        mClosed = true;
        for (Daemon daemon : mDaemons.values()) {
            if (daemon.mProcess != null) {
                daemon.mProcess.destroyForcibly();
            }
        }
        if (System.getenv("KEEP_LOGS") != null || !Files.exists(mFolder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(mFolder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.err.println("cannot remove " + mFolder + ": " + e);
        }
    }
}
