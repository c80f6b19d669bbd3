package org.lycheeroad.entry.requests;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.lycheeroad.entry.ScriptedTarget.completeResponse;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.lycheeroad.entry.EntryFixture;
import org.lycheeroad.entry.ScriptedTarget;

/** Sends requests through a complete daemon to targets that return scripted responses. */
@Timeout(30)
class ForwardingTest {
    private static final String OUTCOME_HEADER = "Lycheeroad-Outcome";
    private static final String[] NOT_REPEATABLE_HEADERS = {
        "Lycheeroad-Not-Repeatable", "true", "Idempotency-Key", "k1"
    };

    private static final String POST_HEAD =
            "POST /v1/requests/photo HTTP/1.1\r\nHost: x\r\nLycheeroad-Team: montaz\r\n";

    private static String statusAndOutcome(HttpResponse<?> response) {
        return response.statusCode()
                + " "
                + response.headers().firstValue(OUTCOME_HEADER).orElse("");
    }

    @Nested
    class ForwardsCompleteResponses {
        /** Guards against losing the body, the headers or the kind of a request. */
        @Test
        void withBodyStatusAndHeaders() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(
                                                    completeResponse(
                                                            request,
                                                            201,
                                                            "X-Model: fan\r\n",
                                                            "answer")));
                    EntryFixture entry = new EntryFixture(target)) {
                HttpResponse<String> response =
                        entry.postRequest("photo bytes", "Accept", "text/plain");
                assertThat(statusAndOutcome(response)).isEqualTo("201 done");
                assertThat(response.body()).isEqualTo("answer");
                assertThat(response.headers().firstValue("X-Model")).hasValue("fan");
                ScriptedTarget.ReceivedRequest received = target.receivedRequests.get(0);
                assertThat(received.path()).isEqualTo("/run/photo");
                assertThat(received.body()).isEqualTo("photo bytes");
                assertThat(received.headers())
                        .containsEntry("lycheeroad-team", "montaz")
                        .containsEntry("accept", "text/plain")
                        .containsKey("lycheeroad-request");
            }
        }

        /** Guards against opening a connection to the target for each request. */
        @Test
        void overOneReusedConnection() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(completeResponse(request, 200, "", "a")));
                    EntryFixture entry = new EntryFixture(target)) {
                for (int i = 0; i < 20; i++) {
                    assertThat(statusAndOutcome(entry.postRequest("x"))).isEqualTo("200 done");
                }
                assertThat(target.connectionCount()).isEqualTo(1);
            }
        }

        /** Guards against unbounded buffering and truncated bodies in either direction. */
        @Test
        void ofManyMegabytesInBothDirections() throws Exception {
            byte[] body = new byte[24 << 20];
            java.util.Arrays.fill(body, (byte) 'b');
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) -> {
                                        out.write(
                                                ("HTTP/1.1 200 OK\r\nLycheeroad-Attempt: "
                                                                + request.attemptId()
                                                                + "\r\nContent-Length: "
                                                                + request.body().length()
                                                                + "\r\n\r\n")
                                                        .getBytes(StandardCharsets.UTF_8));
                                        out.write(
                                                request.body()
                                                        .getBytes(StandardCharsets.ISO_8859_1));
                                    });
                    EntryFixture entry = new EntryFixture(target)) {
                HttpResponse<byte[]> response =
                        entry.http.send(
                                entry.requestBuilder("/v1/requests/photo")
                                        .POST(HttpRequest.BodyPublishers.ofByteArray(body))
                                        .build(),
                                HttpResponse.BodyHandlers.ofByteArray());
                assertThat(statusAndOutcome(response)).isEqualTo("200 done");
                assertThat(response.body()).isEqualTo(body);
            }
        }

        /** Guards against uncounted traffic on the inter-region link, which costs money. */
        @Test
        void andCountsBytesOfChunkedBodiesToOtherRegions() throws Exception {
            byte[] body = new byte[1 << 20];
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(completeResponse(request, 200, "", "a")));
                    EntryFixture entry = new EntryFixture()) {
                entry.listRemoteTarget("far", target.port());
                HttpResponse<String> response =
                        entry.send(
                                entry.requestBuilder("/v1/requests/photo")
                                        .POST(
                                                HttpRequest.BodyPublishers.ofInputStream(
                                                        () -> new ByteArrayInputStream(body)))
                                        .build());
                assertThat(statusAndOutcome(response)).isEqualTo("200 done");
                // Message heads and chunk framing are counted in addition to the body.
                assertThat(interRegionBytes(entry, "sent"))
                        .isBetween(1.0 * (1 << 20), 1.1 * (1 << 20));
                assertThat(interRegionBytes(entry, "received")).isBetween(50.0, 500.0);
            }
        }

        private double interRegionBytes(EntryFixture entry, String direction) {
            String name = "lycheeroad_region_bytes_total{direction=\"" + direction + "\"}";
            return entry.metrics
                    .scrape()
                    .lines()
                    .filter(line -> line.startsWith(name))
                    .mapToDouble(line -> Double.parseDouble(line.substring(name.length())))
                    .sum();
        }

        /** Guards against a stack overflow on a body of one-byte chunks. */
        @Test
        void toBodiesOfOneByteChunks() throws Exception {
            int chunks = 20_000;
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(
                                                    completeResponse(
                                                            request,
                                                            200,
                                                            "",
                                                            "" + request.body().length())));
                    EntryFixture entry = new EntryFixture(target);
                    Socket caller =
                            entry.openConnection(
                                    "POST /v1/requests/photo HTTP/1.1\r\nHost: x\r\n"
                                            + "Lycheeroad-Team: montaz\r\n"
                                            + "Transfer-Encoding: chunked\r\n"
                                            + "Connection: close\r\n\r\n"
                                            + "1\r\nx\r\n".repeat(chunks)
                                            + "0\r\n\r\n")) {
                String response =
                        new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(response).startsWith("HTTP/1.1 200").endsWith("" + chunks);
            }
        }

        /** Guards against pipelined requests that are dropped or answered out of order. */
        @Test
        void toPipelinedRequestsInOrder() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(
                                                    completeResponse(
                                                            request, 200, "", request.body())));
                    EntryFixture entry = new EntryFixture(target);
                    Socket caller =
                            entry.openConnection(
                                    pipelinedRequest(false, "one")
                                            + pipelinedRequest(true, "two"))) {
                String answers =
                        new String(caller.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(answers).containsSubsequence("\r\n\r\none", "\r\n\r\ntwo");
            }
        }

        private static String pipelinedRequest(boolean last, String body) {
            return "POST /v1/requests/photo HTTP/1.1\r\nHost: x\r\nLycheeroad-Team: montaz\r\n"
                    + (last ? "Connection: close\r\n" : "")
                    + "Content-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body;
        }
    }

    @Nested
    class NeverReportsIncompleteResponsesAsComplete {
        private void assertOutcomeUnknown(ScriptedTarget.Script script) throws Exception {
            try (ScriptedTarget target = new ScriptedTarget(script);
                    EntryFixture entry = new EntryFixture(target)) {
                HttpResponse<String> response = entry.postRequest("x", NOT_REPEATABLE_HEADERS);
                assertThat(statusAndOutcome(response)).isEqualTo("504 unknown");
                assertThat(response.body()).doesNotContain("half");
                assertThat(target.receivedRequests).hasSize(1);
            }
        }

        /** Guards against a response truncated by a target that fails. */
        @Test
        void truncatedBeforeContentLength() throws Exception {
            assertOutcomeUnknown(
                    (request, out, socket) -> {
                        byte[] bytes = completeResponse(request, 200, "", "half of it");
                        out.write(bytes, 0, bytes.length - 3);
                        socket.close();
                    });
        }

        /** Guards against a chunked response without its last chunk. */
        @Test
        void chunkedWithoutLastChunk() throws Exception {
            assertOutcomeUnknown(
                    (request, out, socket) -> {
                        out.write(
                                ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                                                + "Lycheeroad-Attempt: "
                                                + request.attemptId()
                                                + "\r\n\r\n4\r\nhalf\r\n")
                                        .getBytes(StandardCharsets.UTF_8));
                        socket.close();
                    });
        }

        /** Guards against responses whose end cannot be distinguished from a lost connection. */
        @Test
        void delimitedByCloseOnly() throws Exception {
            assertOutcomeUnknown(
                    (request, out, socket) -> {
                        out.write(
                                ("HTTP/1.1 200 OK\r\nLycheeroad-Attempt: "
                                                + request.attemptId()
                                                + "\r\n\r\nhalf")
                                        .getBytes(StandardCharsets.UTF_8));
                        socket.close();
                    });
        }

        /** Guards against delivering the response to another caller's request. */
        @Test
        void ofAnotherAttempt() throws Exception {
            assertOutcomeUnknown(
                    (request, out, socket) ->
                            out.write(completeResponse("other.1", 200, "", "half")));
        }

        /** Guards against accepting a refusal of another attempt as "not run". */
        @Test
        void refusalOfAnotherAttempt() throws Exception {
            assertOutcomeUnknown(
                    (request, out, socket) ->
                            out.write(
                                    completeResponse(
                                            "other.1", 503, "Lycheeroad-Not-Run: busy\r\n", "")));
        }

        /**
         * Guards against reading the second copy of a response as the response to the next request.
         */
        @Test
        void duplicated() throws Exception {
            AtomicInteger count = new AtomicInteger();
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) -> {
                                        byte[] bytes =
                                                completeResponse(
                                                        request,
                                                        200,
                                                        "",
                                                        "n" + count.incrementAndGet());
                                        out.write(bytes);
                                        out.write(bytes);
                                    });
                    EntryFixture entry = new EntryFixture(target)) {
                for (int i = 0; i < 20; i++) {
                    HttpResponse<String> response = entry.postRequest("x");
                    int last = count.get();
                    assertThat(statusAndOutcome(response)).isEqualTo("200 done");
                    assertThat(response.body()).isEqualTo("n" + last);
                }
            }
        }

        /** Guards against a truncated streamed response that looks complete to the caller. */
        @Test
        void largeAndTruncatedWhileStreamed() throws Exception {
            int length = 8 << 20;
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) -> {
                                        out.write(
                                                ("HTTP/1.1 200 OK\r\nLycheeroad-Attempt: "
                                                                + request.attemptId()
                                                                + "\r\nContent-Length: "
                                                                + length
                                                                + "\r\n\r\n")
                                                        .getBytes(StandardCharsets.UTF_8));
                                        out.write(new byte[length / 2]);
                                        socket.close();
                                    });
                    EntryFixture entry = new EntryFixture(target)) {
                assertThatThrownBy(() -> entry.postRequest("x")).isInstanceOf(IOException.class);
                EntryFixture.await(() -> entry.metrics.scrape().contains("end=\"broken\""));
            }
        }
    }

    @Nested
    class ReportsNotRunOnlyWhenCertain {
        /** Guards against reporting a refusal as "unknown", and against unnecessary retries. */
        @Test
        void whenEveryTargetRefuses() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(
                                                    completeResponse(
                                                            request,
                                                            503,
                                                            "Lycheeroad-Not-Run: draining\r\n",
                                                            "")));
                    EntryFixture entry = new EntryFixture(target)) {
                HttpResponse<String> response =
                        entry.postRequest("x", "Lycheeroad-Deadline-Ms", "700");
                assertThat(statusAndOutcome(response)).endsWith(" not-run");
            }
        }

        /** Guards against reporting "unknown" although nothing was sent. */
        @Test
        void whenNoTargetCanBeReached() throws Exception {
            ScriptedTarget target = new ScriptedTarget((request, out, socket) -> {});
            target.close();
            try (EntryFixture entry = new EntryFixture(target)) {
                HttpResponse<String> response =
                        entry.postRequest("x", "Lycheeroad-Deadline-Ms", "700");
                assertThat(statusAndOutcome(response)).endsWith(" not-run");
            }
        }

        /** Guards against running a not repeatable request twice. */
        @Test
        void andForwardsAClaimedKeyOnce() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(completeResponse(request, 200, "", "a")));
                    EntryFixture entry = new EntryFixture(target)) {
                assertThat(statusAndOutcome(entry.postRequest("x", NOT_REPEATABLE_HEADERS)))
                        .isEqualTo("200 done");
                assertThat(statusAndOutcome(entry.postRequest("x", NOT_REPEATABLE_HEADERS)))
                        .isEqualTo("504 unknown");
                assertThat(target.receivedRequests).hasSize(1);
            }
        }

        /** Guards against a claim that is kept although its request did not run. */
        @Test
        void andReleasesTheClaim() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(
                                                    completeResponse(
                                                            request,
                                                            503,
                                                            "Lycheeroad-Not-Run: busy\r\n",
                                                            "")));
                    EntryFixture entry = new EntryFixture(target)) {
                String[] headers =
                        Arrays.copyOf(NOT_REPEATABLE_HEADERS, NOT_REPEATABLE_HEADERS.length + 2);
                headers[NOT_REPEATABLE_HEADERS.length] = "Lycheeroad-Deadline-Ms";
                headers[NOT_REPEATABLE_HEADERS.length + 1] = "500";
                assertThat(statusAndOutcome(entry.postRequest("x", headers))).endsWith(" not-run");
                EntryFixture.await(entry.controlPlane.claims::isEmpty);
            }
        }

        /** Guards against sending a request whose claim could not be stored. */
        @Test
        void whenTheStoreIsDown() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(completeResponse(request, 200, "", "a")));
                    EntryFixture entry = new EntryFixture(target)) {
                entry.controlPlane.storeAvailable = false;
                assertThat(statusAndOutcome(entry.postRequest("x", NOT_REPEATABLE_HEADERS)))
                        .isEqualTo("503 not-run");
                assertThat(target.receivedRequests).isEmpty();
                assertThat(statusAndOutcome(entry.postRequest("x")))
                        .as("repeatable")
                        .isEqualTo("200 done");
            }
        }

        /** Guards against a claim with an empty key, which would make all requests duplicates. */
        @Test
        void andRejectsNotRepeatableRequestsWithoutKey() throws Exception {
            try (ScriptedTarget target = new ScriptedTarget((request, out, socket) -> {});
                    EntryFixture entry = new EntryFixture(target)) {
                HttpResponse<String> response =
                        entry.postRequest("x", "Lycheeroad-Not-Repeatable", "true");
                assertThat(statusAndOutcome(response)).isEqualTo("400 not-run");
                assertThat(target.receivedRequests).isEmpty();
            }
        }
    }

    @Nested
    class LimitsSlowCallers {
        /** Guards against a slow upload that occupies a slot at a target. */
        @Test
        void bodyIsBufferedBeforeATargetIsUsed() throws Exception {
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) ->
                                            out.write(completeResponse(request, 200, "", "a")));
                    EntryFixture entry = new EntryFixture(target);
                    Socket caller =
                            entry.openConnection(POST_HEAD + "Content-Length: 4\r\n\r\nab")) {
                assertThat(statusAndOutcome(entry.postRequest("x"))).isEqualTo("200 done");
                assertThat(target.receivedRequests).hasSize(1);
                caller.getOutputStream().write("cd".getBytes(StandardCharsets.UTF_8));
                assertThat(caller.getInputStream().read()).isEqualTo('H');
                assertThat(target.receivedRequests).hasSize(2);
            }
        }

        /** Guards against unbounded buffering of a response that the caller does not read. */
        @Test
        void answerIsReadFromTheTargetOnlyAsTheCallerReads() throws Exception {
            int length = 64 << 20;
            AtomicInteger written = new AtomicInteger();
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) -> {
                                        out.write(
                                                ("HTTP/1.1 200 OK\r\nLycheeroad-Attempt: "
                                                                + request.attemptId()
                                                                + "\r\nContent-Length: "
                                                                + length
                                                                + "\r\n\r\n")
                                                        .getBytes(StandardCharsets.UTF_8));
                                        byte[] part = new byte[1 << 16];
                                        for (int i = 0; i < length; i += part.length) {
                                            out.write(part);
                                            written.addAndGet(part.length);
                                        }
                                    });
                    EntryFixture entry = new EntryFixture(target);
                    Socket caller =
                            entry.openConnection(
                                    POST_HEAD + "Connection: close\r\nContent-Length: 0\r\n\r\n")) {
                InputStream in = caller.getInputStream();
                assertThat(in.read()).isEqualTo('H');
                // The kernel's socket buffers accept some megabytes, after which the target must
                // block.
                int writtenBytes;
                do {
                    writtenBytes = written.get();
                    Thread.sleep(200);
                } while (written.get() != writtenBytes);
                assertThat(writtenBytes).isLessThan(length / 2);
                long receivedBytes = 1 + in.transferTo(java.io.OutputStream.nullOutputStream());
                assertThat(receivedBytes).isGreaterThan(length);
            }
        }
    }

    @Nested
    class ShutsDownGracefully {
        /** Guards against a shutdown that interrupts requests in progress. */
        @Test
        void afterTheRequestsInFlight() throws Exception {
            CountDownLatch release = new CountDownLatch(1);
            try (ScriptedTarget target =
                            new ScriptedTarget(
                                    (request, out, socket) -> {
                                        release.await();
                                        out.write(completeResponse(request, 200, "", "late"));
                                    });
                    EntryFixture entry = new EntryFixture(target)) {
                CompletableFuture<HttpResponse<String>> response =
                        entry.http.sendAsync(
                                entry.requestBuilder("/v1/requests/photo")
                                        .POST(HttpRequest.BodyPublishers.ofString("x"))
                                        .build(),
                                HttpResponse.BodyHandlers.ofString());
                EntryFixture.await(() -> !target.receivedRequests.isEmpty());
                CompletableFuture<Boolean> stopped =
                        CompletableFuture.supplyAsync(entry.daemon::stop);
                EntryFixture.await(() -> !entry.daemon.isReady());
                assertThat(entry.controlPlane.stopped)
                        .as("roles are held until the requests have completed")
                        .isFalse();
                release.countDown();
                assertThat(statusAndOutcome(response.get(10, TimeUnit.SECONDS)))
                        .isEqualTo("200 done");
                assertThat(stopped.get(10, TimeUnit.SECONDS)).isTrue();
                assertThat(entry.controlPlane.stopped).isTrue();
            }
        }
    }
}
