package org.lycheeroad.transport.worker;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.OrdersResponse;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.protocol.worker.StaleTokenError;
import org.lycheeroad.state.task.WorkerReport;
import org.lycheeroad.state.topology.WorkerInfo;
import org.lycheeroad.transport.http.HttpAnswer;
import org.lycheeroad.transport.http.HttpClient;

/** Sends orders to workers and reads their reports. */
public final class WorkerClient {
    private static final byte[] NO_BODY = {};
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final Map<String, String> JSON = Map.of("content-type", "application/json");

    private final HttpClient mHttp;

    /** Creates a client over shared connections. */
    public WorkerClient(HttpClient http) {
        mHttp = http;
    }

    /**
     * Sends a batch of orders.
     *
     * <p>The future fails with {@link StaleTokenException} when the worker obeys a newer owner.
     */
    public CompletableFuture<OrdersResponse> order(
            WorkerInfo worker, OrdersRequest orders, long timeoutMillis) {
        return post(worker, orders, timeoutMillis)
                .thenApply(answer -> parse(answer, OrdersResponse.class));
    }

    /**
     * Renews every running task and waits for a change of the worker's report.
     *
     * @param renewal a request without orders that names a wait
     * @return the answer, or empty if the worker renewed and its report stayed the same until the
     *     wait ended; a worker that does not know the wait answers at once
     */
    public CompletableFuture<Optional<OrdersResponse>> renew(
            WorkerInfo worker, OrdersRequest renewal, long timeoutMillis) {
        return post(worker, renewal, timeoutMillis)
                .thenApply(
                        answer ->
                                answer.status() == NO_CONTENT
                                        ? Optional.empty()
                                        : Optional.of(parse(answer, OrdersResponse.class)));
    }

    /**
     * Waits for a report of another version than the known one; without one, does not wait.
     *
     * @param waitMillis how long the worker may wait for a change
     * @return the report, or empty if it still has the known version when the wait ends
     */
    public CompletableFuture<Optional<WorkerReport>> report(
            WorkerInfo worker, Optional<ReportVersion> known, long waitMillis, long timeoutMillis) {
        String path = "/v1/workers/" + worker.id() + "/report";
        Map<String, String> headers = Map.of();
        if (known.isPresent()) {
            path += "?waitMs=" + waitMillis;
            headers = Map.of("If-None-Match", known.get().entityTag());
        }
        return mHttp.call(worker.address(), "GET", path, headers, NO_BODY, timeoutMillis)
                .thenApply(
                        answer ->
                                answer.status() == NOT_MODIFIED && known.isPresent()
                                        ? Optional.empty()
                                        : Optional.of(parse(answer, WorkerReport.class)));
    }

    private CompletableFuture<HttpAnswer> post(
            WorkerInfo worker, OrdersRequest orders, long timeoutMillis) {
        byte[] body = Json.write(orders).getBytes(StandardCharsets.UTF_8);
        String path = "/v1/workers/" + worker.id() + "/orders";
        return mHttp.call(worker.address(), "POST", path, JSON, body, timeoutMillis);
    }

    private static <T> T parse(HttpAnswer answer, Class<T> type) {
        try {
            if (answer.status() == 409) {
                long token = Json.read(answer.text(), StaleTokenError.class).token();
                throw new CompletionException(new StaleTokenException(token));
            }
            if (answer.status() != 200) {
                throw new CompletionException(new IOException("worker: status " + answer.status()));
            }
            return Json.read(answer.text(), type);
        } catch (JsonException e) {
            throw new CompletionException(e);
        }
    }
}
