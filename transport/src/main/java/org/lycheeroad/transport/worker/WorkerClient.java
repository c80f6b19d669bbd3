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
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;

/** Sends orders to workers and reads their reports. */
public final class WorkerClient {
    private static final byte[] EMPTY_BODY = {};
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final Map<String, String> JSON_HEADERS =
            Map.of("content-type", "application/json");

    private final HttpClient mHttp;

    /** Creates a client on a shared HTTP client. */
    public WorkerClient(HttpClient http) {
        mHttp = http;
    }

    /**
     * Sends a batch of orders.
     *
     * <p>The future fails with {@link StaleTokenException} if the worker has seen a greater fencing
     * token, which means that there is a newer owner.
     */
    public CompletableFuture<OrdersResponse> sendOrders(
            WorkerInfo worker, OrdersRequest orders, long timeoutMs) {
        return post(worker, orders, timeoutMs)
                .thenApply(response -> parseResponse(response, OrdersResponse.class));
    }

    /**
     * Renews the leases of all running tasks and waits for a change of the worker's report.
     *
     * @param renewal a request without orders that sets a wait time
     * @return the response, or empty if the leases were renewed but the report did not change
     *     before the wait ended; a worker that does not support the wait responds at once
     */
    public CompletableFuture<Optional<OrdersResponse>> renew(
            WorkerInfo worker, OrdersRequest renewal, long timeoutMs) {
        return post(worker, renewal, timeoutMs)
                .thenApply(
                        response ->
                                response.status() == NO_CONTENT
                                        ? Optional.empty()
                                        : Optional.of(
                                                parseResponse(response, OrdersResponse.class)));
    }

    /**
     * Fetches the report of a worker, waiting until its version differs from the known one; does
     * not wait if there is no known version.
     *
     * @param waitMs the maximum time for which the worker delays its response
     * @return the report, or empty if its version has not changed when the wait ends
     */
    public CompletableFuture<Optional<WorkerReport>> fetchReport(
            WorkerInfo worker, Optional<ReportVersion> knownVersion, long waitMs, long timeoutMs) {
        String path = "/v1/workers/" + worker.id() + "/report";
        Map<String, String> headers = Map.of();
        if (knownVersion.isPresent()) {
            path += "?waitMs=" + waitMs;
            headers = Map.of("If-None-Match", knownVersion.get().entityTag());
        }
        return mHttp.call(worker.address(), "GET", path, headers, EMPTY_BODY, timeoutMs)
                .thenApply(
                        response ->
                                response.status() == NOT_MODIFIED && knownVersion.isPresent()
                                        ? Optional.empty()
                                        : Optional.of(parseResponse(response, WorkerReport.class)));
    }

    private CompletableFuture<BufferedHttpResponse> post(
            WorkerInfo worker, OrdersRequest orders, long timeoutMs) {
        byte[] body = Json.write(orders).getBytes(StandardCharsets.UTF_8);
        String path = "/v1/workers/" + worker.id() + "/orders";
        return mHttp.call(worker.address(), "POST", path, JSON_HEADERS, body, timeoutMs);
    }

    private static <T> T parseResponse(BufferedHttpResponse response, Class<T> type) {
        try {
            if (response.status() == 409) {
                long token = Json.read(response.text(), StaleTokenError.class).token();
                throw new CompletionException(new StaleTokenException(token));
            }
            if (response.status() != 200) {
                throw new CompletionException(
                        new IOException("worker responded with status " + response.status()));
            }
            return Json.read(response.text(), type);
        } catch (JsonException e) {
            throw new CompletionException(e);
        }
    }
}
