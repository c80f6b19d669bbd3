package org.lycheeroad.standins.demo;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.api.GangRequest;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.standins.targets.TargetsStandIn;
import org.lycheeroad.standins.workers.TaskRun;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;

/** HTTP client that calls entries and reads the records of the stand-ins. */
public final class DemoClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final long CALL_TIMEOUT_MS = 10_000;
    private static final long POLL_INTERVAL_MS = 50;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mClient = new HttpClient(mGroup, CONNECT_TIMEOUT_MS, MAX_BODY_BYTES);

    /** Sends a call without waiting for its response. */
    public CompletableFuture<BufferedHttpResponse> call(
            HostPort server,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            long timeoutMs) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return mClient.call(server, method, path, headers, bytes, timeoutMs);
    }

    /**
     * Fetches a path and returns the body of the response.
     *
     * @throws IOException if no response with status 200 arrives
     */
    public String get(HostPort server, String path) throws IOException, InterruptedException {
        try {
            BufferedHttpResponse answer =
                    call(server, "GET", path, Map.of(), "", CALL_TIMEOUT_MS).get();
            if (answer.status() != 200) {
                throw new IOException(path + " of " + server + ": status " + answer.status());
            }
            return answer.text();
        } catch (ExecutionException e) {
            throw new IOException(path + " of " + server + ": " + e.getCause().getMessage(), e);
        }
    }

    /** Submits a gang. Retrying with the same idempotency key is safe. */
    public CompletableFuture<BufferedHttpResponse> submitGang(
            HostPort entry, GangRequest gang, long timeoutMs) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return call(entry, "POST", "/v1/gangs", headers, Json.write(gang), timeoutMs);
    }

    /**
     * Waits until all entries report that they are ready.
     *
     * @throws IOException if an entry is not ready in time
     */
    public void awaitReady(List<HostPort> entries, long timeoutMs)
            throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        for (HostPort entry : entries) {
            while (true) {
                try {
                    get(entry, "/ready");
                    break;
                } catch (IOException e) {
                    if (System.nanoTime() - deadlineNanos > 0) {
                        throw e;
                    }
                    Thread.sleep(POLL_INTERVAL_MS);
                }
            }
        }
    }

    /** Returns the task runs of all given worker processes. */
    public List<TaskRun> taskRuns(List<HostPort> workers) throws IOException, InterruptedException {
        List<TaskRun> runs = new ArrayList<>();
        for (HostPort processAddress : workers) {
            runs.addAll(List.of(read(get(processAddress, "/admin/runs"), TaskRun[].class)));
        }
        return runs;
    }

    /** Returns the number of executions of each body, summed over the given target processes. */
    public Map<String, Integer> executionsByBody(List<HostPort> targets)
            throws IOException, InterruptedException {
        Map<String, Integer> counts = new HashMap<>();
        for (HostPort processAddress : targets) {
            read(get(processAddress, "/admin/executions"), TargetsStandIn.Counts.class)
                    .byBody()
                    .forEach((body, count) -> counts.merge(body, count, Integer::sum));
        }
        return counts;
    }

    @Override
    public void close() {
        mClient.closeIdleConnections();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    static <T> T read(String json, Class<T> type) throws IOException {
        try {
            return Json.read(json, type);
        } catch (JsonException e) {
            throw new IOException("unexpected answer: " + json, e);
        }
    }
}
