package org.lycheeroad.scheduler.peer;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.config.Gzip;
import org.lycheeroad.scheduler.intake.StoreOutcome;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Sends requests to the owner and to the other daemons. */
public final class PeerClient {
    static final String JOBS_PATH = "/v1/jobs/";
    static final String PENDING_PATH = "/v1/pending/";
    static final String CONFIG_PATH = "/v1/config";
    static final String AFTER_PARAMETER = "after";
    static final int OK = 200;
    static final int NO_CONTENT = 204;
    static final int NOT_FOUND = 404;

    /** About ten times the network latency between regions. */
    private static final long TIMEOUT_MS = 700;

    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    private static final byte[] EMPTY_BODY = {};

    private final HttpClient mHttp;
    private final HostPort mOwnAddress;
    private final Supplier<Optional<HostPort>> mRemoteOwner;
    private final List<HostPort> mSeedPeers;

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

    /** Returns whether another daemon is known to be the owner. */
    public boolean hasRemoteOwner() {
        return mRemoteOwner.get().isPresent();
    }

    /** Fetches a job's state from the owner; empty if it does not respond or know the job. */
    public CompletableFuture<Optional<WorkState>> fetchState(JobId id) {
        return callOwner("GET", JOBS_PATH + id, EMPTY_BODY)
                .thenApply(
                        response ->
                                response.filter(r -> r.status() == OK)
                                        .map(r -> WorkState.valueOf(r.text())));
    }

    /** Fetches the number of a queue's jobs that have not started; empty if unavailable. */
    public CompletableFuture<Optional<Integer>> fetchPendingCount(QueueName queue) {
        return callOwner("GET", PENDING_PATH + queue, EMPTY_BODY)
                .thenApply(
                        response ->
                                response.filter(r -> r.status() == OK)
                                        .map(r -> Integer.parseInt(r.text())));
    }

    /** Asks the owner to write an accepted job to the store. */
    public CompletableFuture<StoreOutcome> acceptViaOwner(JobId id, JobRecord record) {
        byte[] body = Json.write(record).getBytes(StandardCharsets.UTF_8);
        return callOwner("PUT", JOBS_PATH + id, body).thenApply(PeerClient::parseOutcome);
    }

    /** Asks the owner to write a cancellation to the store. */
    public CompletableFuture<StoreOutcome> cancelViaOwner(JobId id) {
        return callOwner("DELETE", JOBS_PATH + id, EMPTY_BODY).thenApply(PeerClient::parseOutcome);
    }

    /**
     * Fetches configurations newer than a version from the owner and the seed peers.
     *
     * @return one entry for each daemon that responded, empty if it has no newer configuration
     */
    public CompletableFuture<List<Optional<ByteString>>> fetchNewerConfigs(long version) {
        Set<HostPort> peers = new LinkedHashSet<>(mSeedPeers);
        mRemoteOwner.get().ifPresent(peers::add);
        peers.remove(mOwnAddress);
        List<Optional<ByteString>> configs = new ArrayList<>();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (HostPort peer : peers) {
            calls.add(
                    call(
                                    peer,
                                    "GET",
                                    CONFIG_PATH + "?" + AFTER_PARAMETER + "=" + version,
                                    EMPTY_BODY)
                            .thenAccept(
                                    response -> {
                                        synchronized (configs) {
                                            response.ifPresent(r -> addConfig(r, configs));
                                        }
                                    }));
        }
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(
                        unused -> {
                            synchronized (configs) {
                                return List.copyOf(configs);
                            }
                        });
    }

    private static void addConfig(
            BufferedHttpResponse response, List<Optional<ByteString>> configs) {
        if (response.status() == NO_CONTENT) {
            configs.add(Optional.empty());
        } else if (response.status() == OK) {
            try {
                configs.add(Optional.of(Gzip.decompress(response.body())));
            } catch (IOException e) {
                LOG.warn("Cannot decompress the configuration that a peer sent", e);
            }
        }
    }

    private CompletableFuture<Optional<BufferedHttpResponse>> callOwner(
            String method, String path, byte[] body) {
        Optional<HostPort> owner = mRemoteOwner.get();
        return owner.isEmpty()
                ? CompletableFuture.completedFuture(Optional.empty())
                : call(owner.get(), method, path, body);
    }

    /** Sends a request; the result is empty if the peer did not respond in time. */
    private CompletableFuture<Optional<BufferedHttpResponse>> call(
            HostPort peer, String method, String path, byte[] body) {
        return mHttp.call(peer, method, path, Map.of(), body, TIMEOUT_MS)
                .handle((response, e) -> Optional.ofNullable(response));
    }

    /** Returns the outcome of a write; a write without a response may have been applied. */
    private static StoreOutcome parseOutcome(Optional<BufferedHttpResponse> response) {
        if (response.isEmpty() || response.get().status() != OK) {
            return StoreOutcome.UNKNOWN;
        }
        try {
            return Json.read(response.get().text(), StoreOutcome.class);
        } catch (JsonException e) {
            return StoreOutcome.UNKNOWN;
        }
    }
}
