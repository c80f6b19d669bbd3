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
 * Sends requests at a fixed rate through different entries and keeps what the callers are told.
 *
 * <p>A caller whose connection breaks repeats the request through another entry with the same
 * idempotency key, as callers are asked to do.
 */
public final class RequestLoad {
    private static final List<Kind> KINDS =
            List.of(
                    new Kind("planner", "layout-check", 10, false),
                    new Kind("montaz", "photo-match", 20, false),
                    new Kind("booking", "booking", 5, true),
                    new Kind("archive", "safety-review", 80, false));
    private static final int MAX_TRIES = 6;
    private static final long REPEAT_PAUSE_MILLIS = 200;
    private static final long DEADLINE_MILLIS = 10_000;

    /** An answer that is later than the deadline by this time counts as lost. */
    private static final long GRACE_MILLIS = 10_000;

    private final Caller mCaller;
    private final List<HostPort> mEntries;
    private final Random mRandom;
    private final String mPrefix;
    private final Set<HostPort> mAvoided = ConcurrentHashMap.newKeySet();
    private final AtomicInteger mBroken = new AtomicInteger();
    private final Map<String, Told> mTold = new ConcurrentHashMap<>();

    private record Kind(String team, String name, int workMillis, boolean booking) {}

    /** What the caller of one request was told. */
    record Told(boolean repeatable, String outcome, String detail) {}

    /** Creates a load whose order is drawn from the seed; the prefix makes its bodies unique. */
    public RequestLoad(Caller caller, List<HostPort> entries, String prefix, long seed) {
        mPrefix = prefix;
        mCaller = caller;
        mEntries = List.copyOf(entries);
        mRandom = new Random(seed);
    }

    /** Sends requests and waits until every caller was told something. */
    public void send(int count, long pauseMillis) throws InterruptedException {
        List<CompletableFuture<?>> open = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Kind kind = KINDS.get(mRandom.nextInt(KINDS.size()));
            int entry = mRandom.nextInt(mEntries.size());
            while (mAvoided.contains(mEntries.get(entry))) {
                entry = (entry + 1) % mEntries.size();
            }
            String body = mPrefix + "-" + i + " work-ms=" + kind.workMillis();
            CompletableFuture<Told> told = new CompletableFuture<>();
            attempt(body, kind, entry, 1, told);
            open.add(told.thenAccept(t -> mTold.put(body, t)));
            Thread.sleep(pauseMillis);
        }
        open.forEach(CompletableFuture::join);
    }

    /** Sends no more requests to an entry, as the balancer does once it is not ready. */
    public void avoid(HostPort entry) {
        mAvoided.add(entry);
    }

    /** Returns the number of requests sent. */
    public int sent() {
        return mTold.size();
    }

    /** Returns the number of callers that got their whole answer. */
    public long whole() {
        return count("done");
    }

    /** Returns the number of callers that were told "not run". */
    public long notRun() {
        return count("not-run");
    }

    /** Returns the number of callers of not repeatable requests that were told "unknown". */
    public long unknown() {
        return mTold.values().stream()
                .filter(t -> !t.repeatable() && t.outcome().equals("unknown"))
                .count();
    }

    /** Returns the number of callers that were told nothing, or a wrong answer. */
    public long lost() {
        return sent() - whole() - notRun() - unknown();
    }

    /** Returns the number of calls that broke after they were sent, before any repetition. */
    public int broken() {
        return mBroken.get();
    }

    /** Counts the callers by what they were told. */
    public Map<String, Integer> summary() {
        Map<String, Integer> counts = new TreeMap<>();
        mTold.values().forEach(t -> counts.merge(t.outcome(), 1, Integer::sum));
        return counts;
    }

    /** Compares what callers were told with the executions; returns every contradiction. */
    public List<String> mismatches(Map<String, Integer> executions) {
        List<String> mismatches = new ArrayList<>();
        mTold.forEach(
                (body, told) -> {
                    int runs = executions.getOrDefault(body, 0);
                    String fault = "";
                    if (told.outcome().equals("not-run") && runs > 0) {
                        fault = "told not run, but ran";
                    } else if (told.outcome().equals("done") && runs == 0) {
                        fault = "told done, but did not run";
                    } else if (!told.repeatable() && runs > 1) {
                        fault = "not repeatable, but ran " + runs + " times";
                    }
                    if (!fault.isEmpty()) {
                        mismatches.add(body + ": " + fault);
                    }
                });
        return mismatches;
    }

    /**
     * Sends every not repeatable request again with its key, as callers do whose answer was lost.
     *
     * <p>What these callers are told is not kept.
     */
    public void repeatBookings(long pauseMillis) throws InterruptedException {
        Kind booking = KINDS.stream().filter(Kind::booking).findFirst().orElseThrow();
        List<CompletableFuture<Told>> open = new ArrayList<>();
        for (Map.Entry<String, Told> first : mTold.entrySet()) {
            if (!first.getValue().repeatable()) {
                CompletableFuture<Told> told = new CompletableFuture<>();
                int entry = open.size() % mEntries.size();
                attempt(first.getKey(), booking, entry, MAX_TRIES, told);
                open.add(told);
                Thread.sleep(pauseMillis);
            }
        }
        open.forEach(CompletableFuture::join);
    }

    /** Returns the not repeatable requests that ran more than once. */
    public List<String> ranTwice(Map<String, Integer> executions) {
        return mTold.entrySet().stream()
                .filter(e -> !e.getValue().repeatable())
                .map(Map.Entry::getKey)
                .filter(body -> executions.getOrDefault(body, 0) > 1)
                .toList();
    }

    /** Describes every caller that got neither its whole answer nor "not run". */
    public List<String> others() {
        List<String> others = new ArrayList<>();
        mTold.forEach(
                (body, told) -> {
                    if (!told.outcome().equals("done") && !told.outcome().equals("not-run")) {
                        others.add(body + ": " + told.outcome() + " " + told.detail());
                    }
                });
        return others;
    }

    private void attempt(
            String body, Kind kind, int entry, int attempt, CompletableFuture<Told> told) {
        Map<String, String> headers = new HashMap<>();
        headers.put(RequestHeaders.TEAM, kind.team());
        headers.put(RequestHeaders.IDEMPOTENCY_KEY, body.substring(0, body.indexOf(' ')));
        headers.put(RequestHeaders.DEADLINE_MS, Long.toString(DEADLINE_MILLIS));
        if (kind.booking()) {
            headers.put(RequestHeaders.NOT_REPEATABLE, "true");
        }
        mCaller.call(
                        mEntries.get(entry),
                        "POST",
                        "/v1/requests/" + kind.name(),
                        headers,
                        body,
                        DEADLINE_MILLIS + GRACE_MILLIS)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure instanceof HttpCallException e
                                    && e.kind() != HttpCallException.Kind.NOT_SENT) {
                                mBroken.incrementAndGet();
                            }
                            if (failure == null || attempt == MAX_TRIES) {
                                told.complete(told(body, !kind.booking(), answer, failure));
                                return;
                            }
                            int next = (entry + 1) % mEntries.size();
                            CompletableFuture.delayedExecutor(
                                            REPEAT_PAUSE_MILLIS, TimeUnit.MILLISECONDS)
                                    .execute(() -> attempt(body, kind, next, attempt + 1, told));
                        });
    }

    private static Told told(
            String body, boolean repeatable, BufferedHttpResponse answer, Throwable failure) {
        if (failure != null) {
            return new Told(repeatable, "broken", String.valueOf(failure.getMessage()));
        }
        String outcome = answer.header(RequestHeaders.OUTCOME);
        if (outcome.equals("done") && !answer.text().equals("ran " + body + "\n")) {
            return new Told(repeatable, "crossed", "got: " + answer.text());
        }
        return new Told(
                repeatable, outcome, answer.status() + " " + answer.header(RequestHeaders.REASON));
    }

    private long count(String outcome) {
        return mTold.values().stream().filter(t -> t.outcome().equals(outcome)).count();
    }
}
