package org.lycheeroad.standins.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.lycheeroad.protocol.api.RequestHeaders;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpCallException;

/**
 * Sends requests at a fixed rate through different entries and records the outcome that each caller
 * receives.
 *
 * <p>If a call fails, it is retried through another entry with the same idempotency key, as callers
 * are expected to do.
 */
public final class RequestLoadGenerator {
    private static final List<RequestKind> KINDS =
            List.of(
                    new RequestKind("planner", "layout-check", 10, false),
                    new RequestKind("montaz", "photo-match", 20, false),
                    new RequestKind("booking", "booking", 5, true),
                    new RequestKind("archive", "safety-review", 80, false));
    private static final int MAX_ATTEMPTS = 6;
    private static final long RETRY_DELAY_MS = 200;
    private static final long DEADLINE_MS = 10_000;

    /** A response that arrives later than the deadline plus this time counts as lost. */
    private static final long RESPONSE_GRACE_MS = 10_000;

    private final DemoClient mClient;
    private final List<HostPort> mEntries;
    private final Random mRandom;
    private final String mBodyPrefix;
    private final Set<HostPort> mExcludedEntries = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mBrokenCallCount = new AtomicInteger();
    private final Map<String, CallerResult> mResults = new ConcurrentHashMap<>();

    private record RequestKind(String team, String name, int workMs, boolean notRepeatable) {}

    /** The outcome that the caller of one request received. */
    record CallerResult(boolean repeatable, String outcome, String detail) {}

    /**
     * Creates a load whose random choices are determined by the seed; the prefix makes its request
     * bodies unique.
     */
    public RequestLoadGenerator(
            DemoClient client, List<HostPort> entries, String prefix, long seed) {
        mBodyPrefix = prefix;
        mClient = client;
        mEntries = List.copyOf(entries);
        mRandom = new Random(seed);
    }

    /**
     * Sends requests and waits until each has an outcome; a request whose attempts all fail counts
     * as "broken".
     */
    public void send(int count, long pauseMs) throws InterruptedException {
        List<CompletableFuture<?>> pending = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            RequestKind kind = KINDS.get(mRandom.nextInt(KINDS.size()));
            int entry = mRandom.nextInt(mEntries.size());
            while (mExcludedEntries.contains(mEntries.get(entry))) {
                entry = (entry + 1) % mEntries.size();
            }
            String body = mBodyPrefix + "-" + i + " work-ms=" + kind.workMs();
            CompletableFuture<CallerResult> result = new CompletableFuture<>();
            sendAttempt(body, kind, entry, 1, result);
            pending.add(result.thenAccept(r -> mResults.put(body, r)));
            Thread.sleep(pauseMs);
        }
        pending.forEach(CompletableFuture::join);
    }

    /**
     * Stops sending new requests to an entry, as a load balancer does once the entry is not ready.
     */
    public void excludeEntry(HostPort entry) {
        mExcludedEntries.add(entry);
    }

    /** Returns the number of requests that have an outcome. */
    public int sentCount() {
        return mResults.size();
    }

    /** Returns the number of requests whose callers received a complete response. */
    public long doneCount() {
        return countOutcome("done");
    }

    /** Returns the number of requests with the outcome "not run". */
    public long notRunCount() {
        return countOutcome("not-run");
    }

    /** Returns the number of non-repeatable requests with the outcome "unknown". */
    public long unknownCount() {
        return mResults.values().stream()
                .filter(r -> !r.repeatable() && r.outcome().equals("unknown"))
                .count();
    }

    /**
     * Returns the number of requests without a valid outcome: no response, a wrong response, or
     * "unknown" for a repeatable request.
     */
    public long lostCount() {
        return sentCount() - doneCount() - notRunCount() - unknownCount();
    }

    /** Returns the number of calls that failed after they may have been sent, including retries. */
    public int brokenCallCount() {
        return mBrokenCallCount.get();
    }

    /** Returns the number of requests by outcome. */
    public Map<String, Integer> countsByOutcome() {
        Map<String, Integer> counts = new TreeMap<>();
        mResults.values().forEach(r -> counts.merge(r.outcome(), 1, Integer::sum));
        return counts;
    }

    /** Compares the outcomes with the executions and describes each contradiction. */
    public List<String> findMismatches(Map<String, Integer> executions) {
        List<String> mismatches = new ArrayList<>();
        mResults.forEach(
                (body, result) -> {
                    int runCount = executions.getOrDefault(body, 0);
                    String contradiction = "";
                    if (result.outcome().equals("not-run") && runCount > 0) {
                        contradiction = "told not run, but ran";
                    } else if (result.outcome().equals("done") && runCount == 0) {
                        contradiction = "told done, but did not run";
                    } else if (!result.repeatable() && runCount > 1) {
                        contradiction = "not repeatable, but ran " + runCount + " times";
                    }
                    if (!contradiction.isEmpty()) {
                        mismatches.add(body + ": " + contradiction);
                    }
                });
        return mismatches;
    }

    /**
     * Sends each non-repeatable request again with its idempotency key, as callers do after a lost
     * response.
     *
     * <p>The outcomes of these calls are not recorded.
     */
    public void resendNotRepeatable(long pauseMs) throws InterruptedException {
        RequestKind booking =
                KINDS.stream().filter(RequestKind::notRepeatable).findFirst().orElseThrow();
        List<CompletableFuture<CallerResult>> pending = new ArrayList<>();
        for (Map.Entry<String, CallerResult> original : mResults.entrySet()) {
            if (!original.getValue().repeatable()) {
                CompletableFuture<CallerResult> result = new CompletableFuture<>();
                int entry = pending.size() % mEntries.size();
                sendAttempt(original.getKey(), booking, entry, MAX_ATTEMPTS, result);
                pending.add(result);
                Thread.sleep(pauseMs);
            }
        }
        pending.forEach(CompletableFuture::join);
    }

    /** Returns the bodies of the non-repeatable requests that ran more than once. */
    public List<String> notRepeatableRunMoreThanOnce(Map<String, Integer> executions) {
        return mResults.entrySet().stream()
                .filter(e -> !e.getValue().repeatable())
                .map(Map.Entry::getKey)
                .filter(body -> executions.getOrDefault(body, 0) > 1)
                .toList();
    }

    /** Describes each request whose outcome is neither "done" nor "not run". */
    public List<String> unexpectedResults() {
        List<String> unexpected = new ArrayList<>();
        mResults.forEach(
                (body, result) -> {
                    if (!result.outcome().equals("done") && !result.outcome().equals("not-run")) {
                        unexpected.add(body + ": " + result.outcome() + " " + result.detail());
                    }
                });
        return unexpected;
    }

    private void sendAttempt(
            String body,
            RequestKind kind,
            int entry,
            int attempt,
            CompletableFuture<CallerResult> result) {
        Map<String, String> headers = new HashMap<>();
        headers.put(RequestHeaders.TEAM, kind.team());
        headers.put(RequestHeaders.IDEMPOTENCY_KEY, body.substring(0, body.indexOf(' ')));
        headers.put(RequestHeaders.DEADLINE_MS, Long.toString(DEADLINE_MS));
        if (kind.notRepeatable()) {
            headers.put(RequestHeaders.NOT_REPEATABLE, "true");
        }
        mClient.call(
                        mEntries.get(entry),
                        "POST",
                        "/v1/requests/" + kind.name(),
                        headers,
                        body,
                        DEADLINE_MS + RESPONSE_GRACE_MS)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure instanceof HttpCallException e
                                    && e.kind() != HttpCallException.Kind.NOT_SENT) {
                                mBrokenCallCount.incrementAndGet();
                            }
                            if (failure == null || attempt == MAX_ATTEMPTS) {
                                result.complete(
                                        toResult(body, !kind.notRepeatable(), answer, failure));
                                return;
                            }
                            int nextEntry = (entry + 1) % mEntries.size();
                            CompletableFuture.delayedExecutor(RETRY_DELAY_MS, TimeUnit.MILLISECONDS)
                                    .execute(
                                            () ->
                                                    sendAttempt(
                                                            body,
                                                            kind,
                                                            nextEntry,
                                                            attempt + 1,
                                                            result));
                        });
    }

    private static CallerResult toResult(
            String body, boolean repeatable, BufferedHttpResponse answer, Throwable failure) {
        if (failure != null) {
            return new CallerResult(repeatable, "broken", String.valueOf(failure.getMessage()));
        }
        String outcome = answer.header(RequestHeaders.OUTCOME);
        if (outcome.equals("done") && !answer.text().equals("ran " + body + "\n")) {
            return new CallerResult(repeatable, "crossed", "got: " + answer.text());
        }
        return new CallerResult(
                repeatable, outcome, answer.status() + " " + answer.header(RequestHeaders.REASON));
    }

    private long countOutcome(String outcome) {
        return mResults.values().stream().filter(r -> r.outcome().equals(outcome)).count();
    }
}
