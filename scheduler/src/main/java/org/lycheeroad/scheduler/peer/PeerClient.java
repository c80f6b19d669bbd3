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

/** Calls the owner and other daemons. */
public final class PeerClient {
    static final String JOBS = "/v1/jobs/";
    static final String PENDING = "/v1/pending/";
    static final String CONFIG = "/v1/config";
    static final String AFTER = "after";
    static final int OK = 200;
    static final int NO_CONTENT = 204;
    static final int NOT_FOUND = 404;

    /** Some ten times the way between regions. */
    private static final long TIMEOUT_MS = 700;

    private static final Logger LOG = LoggerFactory.getLogger(PeerClient.class);
    private static final byte[] EMPTY = {};

    private final HttpClient mHttp;
    private final HostPort mSelf;
    private final Supplier<Optional<HostPort>> mOwner;
    private final List<HostPort> mSeeds;

    /**
     * Creates a client.
     *
     * @param owner returns the present owner, empty if there is none or it is this daemon
     */
    public PeerClient(
            HttpClient http,
            HostPort self,
            Supplier<Optional<HostPort>> owner,
            List<HostPort> seeds) {
        mHttp = http;
        mSelf = self;
        mOwner = owner;
        mSeeds = List.copyOf(seeds);
    }

    /** Returns whether another daemon is known as owner. */
    public boolean hasOwner() {
        return mOwner.get().isPresent();
    }

    /** Asks the owner for a job's state; empty if the owner does not know the job or is away. */
    public CompletableFuture<Optional<WorkState>> state(JobId id) {
        return callOwner("GET", JOBS + id, EMPTY)
                .thenApply(
                        answer ->
                                answer.filter(a -> a.status() == OK)
                                        .map(a -> WorkState.valueOf(a.text())));
    }

    /** Asks the owner for the number of a queue's jobs that have not begun. */
    public CompletableFuture<Optional<Integer>> pending(QueueName queue) {
        return callOwner("GET", PENDING + queue, EMPTY)
                .thenApply(
                        answer ->
                                answer.filter(a -> a.status() == OK)
                                        .map(a -> Integer.parseInt(a.text())));
    }

    /** Has the owner write an accepted job to the store. */
    public CompletableFuture<StoreOutcome> accept(JobId id, JobRecord record) {
        byte[] body = Json.write(record).getBytes(StandardCharsets.UTF_8);
        return callOwner("PUT", JOBS + id, body).thenApply(PeerClient::outcome);
    }

    /** Has the owner write a cancellation to the store. */
    public CompletableFuture<StoreOutcome> cancel(JobId id) {
        return callOwner("DELETE", JOBS + id, EMPTY).thenApply(PeerClient::outcome);
    }

    /**
     * Asks the owner and the seeds for configurations that are newer than a version.
     *
     * @return one entry for each daemon that answered, empty if it has none that is newer
     */
    public CompletableFuture<List<Optional<ByteString>>> config(long version) {
        Set<HostPort> peers = new LinkedHashSet<>(mSeeds);
        mOwner.get().ifPresent(peers::add);
        peers.remove(mSelf);
        List<Optional<ByteString>> answers = new ArrayList<>();
        List<CompletableFuture<?>> calls = new ArrayList<>();
        for (HostPort peer : peers) {
            calls.add(
                    call(peer, "GET", CONFIG + "?" + AFTER + "=" + version, EMPTY)
                            .thenAccept(
                                    answer -> {
                                        synchronized (answers) {
                                            answer.ifPresent(a -> readConfig(a, answers));
                                        }
                                    }));
        }
        return CompletableFuture.allOf(calls.toArray(CompletableFuture[]::new))
                .thenApply(
                        done -> {
                            synchronized (answers) {
                                return List.copyOf(answers);
                            }
                        });
    }

    private static void readConfig(
            BufferedHttpResponse answer, List<Optional<ByteString>> answers) {
        if (answer.status() == NO_CONTENT) {
            answers.add(Optional.empty());
        } else if (answer.status() == OK) {
            try {
                answers.add(Optional.of(Gzip.unpack(answer.body())));
            } catch (IOException e) {
                LOG.warn("A daemon sent a configuration that cannot be unpacked", e);
            }
        }
    }

    private CompletableFuture<Optional<BufferedHttpResponse>> callOwner(
            String method, String path, byte[] body) {
        Optional<HostPort> owner = mOwner.get();
        return owner.isEmpty()
                ? CompletableFuture.completedFuture(Optional.empty())
                : call(owner.get(), method, path, body);
    }

    /** An absent answer means that the peer did not answer in time. */
    private CompletableFuture<Optional<BufferedHttpResponse>> call(
            HostPort peer, String method, String path, byte[] body) {
        return mHttp.call(peer, method, path, Map.of(), body, TIMEOUT_MS)
                .handle((answer, e) -> Optional.ofNullable(answer));
    }

    /** A call without an answer may have been carried out. */
    private static StoreOutcome outcome(Optional<BufferedHttpResponse> answer) {
        if (answer.isEmpty() || answer.get().status() != OK) {
            return StoreOutcome.UNKNOWN;
        }
        try {
            return Json.read(answer.get().text(), StoreOutcome.class);
        } catch (JsonException e) {
            return StoreOutcome.UNKNOWN;
        }
    }
}
