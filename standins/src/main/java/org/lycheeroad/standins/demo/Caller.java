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

/** Calls entries as a caller does, and the stand-ins for their records. */
public final class Caller implements AutoCloseable {
    private static final int CONNECT_MILLIS = 1_000;
    private static final int MAX_BODY_BYTES = 64 << 20;
    private static final long CALL_MILLIS = 10_000;
    private static final long POLL_MILLIS = 50;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mClient = new HttpClient(mGroup, CONNECT_MILLIS, MAX_BODY_BYTES);

    /** Starts a call. */
    public CompletableFuture<BufferedHttpResponse> call(
            HostPort to,
            String method,
            String path,
            Map<String, String> headers,
            String body,
            long timeoutMillis) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        return mClient.call(to, method, path, headers, bytes, timeoutMillis);
    }

    /**
     * Gets a page that must be there.
     *
     * @throws IOException if there is no answer with status 200
     */
    public String get(HostPort from, String path) throws IOException, InterruptedException {
        try {
            BufferedHttpResponse answer = call(from, "GET", path, Map.of(), "", CALL_MILLIS).get();
            if (answer.status() != 200) {
                throw new IOException(path + " of " + from + ": status " + answer.status());
            }
            return answer.text();
        } catch (ExecutionException e) {
            throw new IOException(path + " of " + from + ": " + e.getCause().getMessage(), e);
        }
    }

    /** Submits a gang; repeating it with the same idempotency key is safe. */
    public CompletableFuture<BufferedHttpResponse> submit(
            HostPort entry, GangRequest gang, long timeout) {
        Map<String, String> headers = Map.of("Content-Type", "application/json");
        return call(entry, "POST", "/v1/gangs", headers, Json.write(gang), timeout);
    }

    /**
     * Waits until all entries say that they are ready.
     *
     * @throws IOException if one is not ready in time
     */
    public void awaitReady(List<HostPort> entries, long millis)
            throws IOException, InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (HostPort entry : entries) {
            while (true) {
                try {
                    get(entry, "/ready");
                    break;
                } catch (IOException e) {
                    if (System.nanoTime() - end > 0) {
                        throw e;
                    }
                    Thread.sleep(POLL_MILLIS);
                }
            }
        }
    }

    /** Returns the records of all runs of tasks. */
    public List<TaskRun> taskRuns(List<HostPort> workers) throws IOException, InterruptedException {
        List<TaskRun> runs = new ArrayList<>();
        for (HostPort process : workers) {
            runs.addAll(List.of(read(get(process, "/admin/runs"), TaskRun[].class)));
        }
        return runs;
    }

    /** Returns how often each body was executed, over all targets. */
    public Map<String, Integer> executionsByBody(List<HostPort> targets)
            throws IOException, InterruptedException {
        Map<String, Integer> counts = new HashMap<>();
        for (HostPort process : targets) {
            read(get(process, "/admin/executions"), TargetsStandIn.Counts.class)
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
