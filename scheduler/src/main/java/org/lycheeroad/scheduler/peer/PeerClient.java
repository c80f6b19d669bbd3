package org.lycheeroad.scheduler.peer;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import java.util.function.Supplier;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.config.Gzip;
import org.lycheeroad.scheduler.intake.StoreOutcome;
import org.lycheeroad.scheduler.owner.OwnerRecord;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.LoadSummary;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpCallException;
import org.lycheeroad.transport.http.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends requests to the owner and to the other daemons. */
public final class PeerClient {
    static final String JOBS_PATH = "/v1/jobs/";
    static final String PENDING_PATH = "/v1/pending/";
    static final String LOAD_PATH = "/v1/load";
    static final String CONFIG_PATH = "/v1/config";
    static final String OWNER_PATH = "/v1/owner";
    static final String STORE_PATH = "/v1/store";
    static final String EVACUATIONS_PATH = "/v1/evacuations";
    static final String LEASES_PATH = "/v1/leases/";
    static final String AFTER_PARAMETER = "after";

    /** Present with a configuration that the store has confirmed recently. */
    static final String CONFIRMED_HEADER = "Lycheeroad-Config-Confirmed";

    static final String CONFIRMED = "true";
    static final int OK = 200;
    static final int NO_CONTENT = 204;
    static final int NOT_FOUND = 404;

    /** About ten times the network latency between regions. */
    private static final long TIMEOUT_MS = 700;

    /** The most seed peers that a write is relayed through, after the owner. */
    private static final int MAX_RELAYS = 2;

    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    private static final byte[] EMPTY_BODY = {};

    private final HttpClient mHttp;
    private final HostPort mOwnAddress;
    private final Supplier<Optional<HostPort>> mRemoteOwner;
    private final List<HostPort> mSeedPeers;
    private final AtomicInteger mNextSeed = new AtomicInteger();

    /**
     * Creates a client.
     *
     * @param ownAddress the address of this daemon, to which no requests are sent
     * @param remoteOwner returns the address of the current owner, or empty if there is none or it
     *     is this daemon
     * @param seedPeers configured addresses of other daemons
     */
    public PeerClient(
            HttpClient http,
            HostPort ownAddress,
            Supplier<Optional<HostPort>> remoteOwner,
            List<HostPort> seedPeers) {
        mHttp = http;
        mOwnAddress = ownAddress;
        mRemoteOwner = remoteOwner;
        mSeedPeers = List.copyOf(seedPeers);
    }

    /** Fetches a job's state from the owner; empty if it does not respond or know the job. */
    public CompletableFuture<Optional<WorkState>> fetchState(JobId id) {
        return callOwner("GET", JOBS_PATH + id, EMPTY_BODY)
                .thenApply(
                        response ->
                                response.filter(r -> r.status() == OK)
                                        .flatMap(r -> parse(r.text(), WorkState::valueOf)));
    }

    /** Fetches the number of a queue's jobs that have not started; empty if unavailable. */
    public CompletableFuture<Optional<Integer>> fetchPendingCount(QueueName queue) {
        return callOwner("GET", PENDING_PATH + queue, EMPTY_BODY)
                .thenApply(
                        response ->
                                response.filter(r -> r.status() == OK)
                                        .flatMap(r -> parse(r.text(), Integer::valueOf)));
    }

    /** Fetches a summary of the load from the owner; empty if it does not respond or has none. */
    public CompletableFuture<Optional<LoadSummary>> fetchLoad() {
        return callOwner("GET", LOAD_PATH, EMPTY_BODY)
                .thenApply(
                        response ->
                                response.filter(r -> r.status() == OK)
                                        .flatMap(PeerClient::parseLoad));
    }

    /** Asks the owner, or else seed peers, to write an accepted job to the store. */
    public CompletableFuture<StoreOutcome> acceptViaPeers(JobId id, JobRecord record) {
        byte[] body = Json.write(record).getBytes(StandardCharsets.UTF_8);
        return relay(relays(), "PUT", JOBS_PATH + id, body, StoreOutcome.REFUSED);
    }

    /** Asks the owner, or else seed peers, to write a cancellation to the store. */
    public CompletableFuture<StoreOutcome> cancelViaPeers(JobId id) {
        return relay(relays(), "DELETE", JOBS_PATH + id, EMPTY_BODY, StoreOutcome.REFUSED);
    }

    /** Asks the seed peers which owner they know; returns the newest one. */
    public CompletableFuture<Optional<OwnerRecord>> fetchOwner() {
        List<CompletableFuture<Optional<OwnerRecord>>> calls = new ArrayList<>();
        for (HostPort peer : mSeedPeers) {
            if (!peer.equals(mOwnAddress)) {
                calls.add(
                        call(peer, "GET", OWNER_PATH, EMPTY_BODY)
                                .thenApply(
                                        reply ->
                                                reply.response()
                                                        .filter(r -> r.status() == OK)
                                                        .flatMap(PeerClient::parseOwner)));
            }
        }
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(
                        unused ->
                                calls.stream()
                                        .flatMap(call -> call.join().stream())
                                        .max(Comparator.comparingLong(OwnerRecord::epoch)));
    }

    /** Returns the first seed peer that has reached the store just now, if there is one. */
    public CompletableFuture<Optional<HostPort>> findPeerWithStore() {
        CompletableFuture<Optional<HostPort>> found = new CompletableFuture<>();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (HostPort peer : mSeedPeers) {
            if (!peer.equals(mOwnAddress)) {
                calls.add(
                        call(peer, "GET", STORE_PATH, EMPTY_BODY)
                                .thenAccept(
                                        reply ->
                                                reply.response()
                                                        .filter(r -> r.status() == OK)
                                                        .ifPresent(
                                                                r ->
                                                                        found.complete(
                                                                                Optional.of(
                                                                                        peer)))));
            }
        }
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenRun(() -> found.complete(Optional.empty()));
        return found;
    }

    /** Asks a peer to revoke a lease in the store. */
    public void revokeLeaseThrough(HostPort peer, long leaseId) {
        call(peer, "DELETE", LEASES_PATH + leaseId, EMPTY_BODY)
                .thenAccept(
                        reply ->
                                LOG.info(
                                        "Peer {} was asked to revoke lease {}: {}",
                                        peer,
                                        leaseId,
                                        reply.response().map(r -> "status " + r.status())));
    }

    private static Optional<OwnerRecord> parseOwner(BufferedHttpResponse response) {
        try {
            return Optional.of(Json.read(response.text(), OwnerRecord.class));
        } catch (JsonException e) {
            LOG.warn("Cannot parse the owner that a peer sent", e);
            return Optional.empty();
        }
    }

    private static Optional<LoadSummary> parseLoad(BufferedHttpResponse response) {
        try {
            return Optional.of(Json.read(response.text(), LoadSummary.class));
        } catch (JsonException e) {
            LOG.warn("Cannot parse the load that the owner sent", e);
            return Optional.empty();
        }
    }

    /** Returns the peers to relay a write through: the owner and some seeds, in changing order. */
    private List<HostPort> relays() {
        Set<HostPort> relays = new LinkedHashSet<>();
        mRemoteOwner.get().ifPresent(relays::add);
        int first = mSeedPeers.isEmpty() ? 0 : mNextSeed.getAndIncrement();
        for (int i = 0; i < mSeedPeers.size() && relays.size() <= MAX_RELAYS; i++) {
            relays.add(mSeedPeers.get(Math.floorMod(first + i, mSeedPeers.size())));
        }
        relays.remove(mOwnAddress);
        return List.copyOf(relays);
    }

    /**
     * Sends a write to one peer after the other until its outcome is definite. A repeated write has
     * no further effect.
     *
     * @param outcomeSoFar UNKNOWN if a peer may already have written, otherwise REFUSED
     */
    private CompletableFuture<StoreOutcome> relay(
            List<HostPort> relays,
            String method,
            String path,
            byte[] body,
            StoreOutcome outcomeSoFar) {
        if (relays.isEmpty()) {
            return CompletableFuture.completedFuture(outcomeSoFar);
        }
        return call(relays.get(0), method, path, body)
                .thenCompose(
                        reply -> {
                            StoreOutcome outcome = parseOutcome(reply);
                            if (outcome == StoreOutcome.STORED || outcome == StoreOutcome.NO_JOB) {
                                return CompletableFuture.completedFuture(outcome);
                            }
                            return relay(
                                    relays.subList(1, relays.size()),
                                    method,
                                    path,
                                    body,
                                    outcome == StoreOutcome.UNKNOWN ? outcome : outcomeSoFar);
                        });
    }

    /**
     * What other daemons know about the configuration.
     *
     * @param newer one entry for each daemon that responded, empty if it has no newer configuration
     * @param confirmed whether the store has confirmed the configuration of one of them recently
     */
    public record ConfigReplies(List<Optional<ByteString>> newer, boolean confirmed) {}

    /**
     * Fetches configurations newer than a version from the owner and the seed peers. Ends with the
     * first reply that the store has confirmed, and otherwise when all have responded or timed out.
     */
    public CompletableFuture<ConfigReplies> fetchNewerConfigs(long version) {
        Set<HostPort> peers = new LinkedHashSet<>(mSeedPeers);
        mRemoteOwner.get().ifPresent(peers::add);
        peers.remove(mOwnAddress);
        String path = CONFIG_PATH + "?" + AFTER_PARAMETER + "=" + version;
        Queue<Optional<ByteString>> newer = new ConcurrentLinkedQueue<>();
        CompletableFuture<ConfigReplies> result = new CompletableFuture<>();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (HostPort peer : peers) {
            calls.add(
                    call(peer, "GET", path, EMPTY_BODY)
                            .thenAccept(
                                    reply -> {
                                        var config =
                                                reply.response().flatMap(PeerClient::parseConfig);
                                        config.ifPresent(newer::add);
                                        if (config.isPresent() && isConfirmed(reply)) {
                                            result.complete(
                                                    new ConfigReplies(List.copyOf(newer), true));
                                        }
                                    }));
        }
        CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenRun(() -> result.complete(new ConfigReplies(List.copyOf(newer), false)));
        return result;
    }

    private static boolean isConfirmed(Reply reply) {
        return reply.response()
                .filter(r -> r.header(CONFIRMED_HEADER).equals(CONFIRMED))
                .isPresent();
    }

    /**
     * Returns the newer configuration in a response, which is empty if the peer has none; returns
     * empty if the response is not valid.
     */
    private static Optional<Optional<ByteString>> parseConfig(BufferedHttpResponse response) {
        if (response.status() == NO_CONTENT) {
            return Optional.of(Optional.empty());
        }
        if (response.status() != OK) {
            return Optional.empty();
        }
        try {
            return Optional.of(Optional.of(Gzip.decompress(response.body())));
        } catch (IOException e) {
            LOG.warn("Cannot decompress the configuration that a peer sent", e);
            return Optional.empty();
        }
    }

    private CompletableFuture<Optional<BufferedHttpResponse>> callOwner(
            String method, String path, byte[] body) {
        Optional<HostPort> owner = mRemoteOwner.get();
        return owner.isEmpty()
                ? CompletableFuture.completedFuture(Optional.empty())
                : call(owner.get(), method, path, body).thenApply(Reply::response);
    }

    /**
     * The result of a request.
     *
     * @param response empty if the peer did not respond in time
     * @param sent whether the request may have reached the peer
     */
    private record Reply(Optional<BufferedHttpResponse> response, boolean sent) {}

    private CompletableFuture<Reply> call(HostPort peer, String method, String path, byte[] body) {
        return mHttp.call(peer, method, path, Map.of(), body, TIMEOUT_MS)
                .handle(
                        (response, e) ->
                                new Reply(
                                        Optional.ofNullable(response),
                                        !(e instanceof HttpCallException failure
                                                && failure.kind()
                                                        == HttpCallException.Kind.NOT_SENT)));
    }

    /** Parses the text of a response; one that cannot be parsed counts as no response. */
    private static <T> Optional<T> parse(String text, Function<String, T> parser) {
        try {
            return Optional.of(parser.apply(text));
        } catch (IllegalArgumentException e) {
            LOG.warn("Cannot parse the response \"{}\" of a peer", text, e);
            return Optional.empty();
        }
    }

    /** Returns the outcome of a write; a write without a response may have been applied. */
    private static StoreOutcome parseOutcome(Reply reply) {
        if (!reply.sent()) {
            return StoreOutcome.REFUSED;
        }
        if (reply.response().isEmpty() || reply.response().get().status() != OK) {
            return StoreOutcome.UNKNOWN;
        }
        try {
            return Json.read(reply.response().get().text(), StoreOutcome.class);
        } catch (JsonException e) {
            return StoreOutcome.UNKNOWN;
        }
    }
}
