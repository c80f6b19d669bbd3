package org.lycheeroad.scheduler.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.intake.JobStore;
import org.lycheeroad.scheduler.owner.OwnerService;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpHandler;

/** Serves the requests of {@link PeerClient}. */
public final class PeerServer implements HttpHandler {
    private static final int BAD_REQUEST = 400;
    private static final int SERVICE_UNAVAILABLE = 503;

    private final ConfigCache mConfigCache;
    private final OwnerService mOwnerService;
    private final JobStore mJobStore;
    private final MetadataStore mStore;

    public PeerServer(ConfigCache config, OwnerService owner, JobStore jobs, MetadataStore store) {
        mConfigCache = config;
        mOwnerService = owner;
        mJobStore = jobs;
        mStore = store;
    }

    @Override
    public void handle(HttpCall call) {
        String path = call.path();
        if (path.equals(PeerClient.CONFIG_PATH)) {
            handleConfig(call);
        } else if (path.equals(PeerClient.OWNER_PATH)) {
            respond(call, mOwnerService.owner().map(Json::write));
        } else if (path.equals(PeerClient.LOAD_PATH)) {
            mOwnerService.load().thenAccept(load -> respond(call, load.map(Json::write)));
        } else if (path.equals(PeerClient.STORE_PATH)) {
            // A call of its own shows whether this daemon reaches the store at present.
            mStore.read(StoreKeys.EPOCH)
                    .whenComplete((epoch, e) -> respondStoreOutcome(call, e == null));
        } else if (path.equals(PeerClient.EVACUATIONS_PATH)) {
            mOwnerService
                    .evacuatedDomains()
                    .thenAccept(domains -> respond(call, domains.map(PeerServer::lines)));
        } else if (path.startsWith(PeerClient.LEASES_PATH)) {
            handleLease(call, path.substring(PeerClient.LEASES_PATH.length()));
        } else if (path.startsWith(PeerClient.PENDING_PATH)) {
            QueueName queue = new QueueName(path.substring(PeerClient.PENDING_PATH.length()));
            mOwnerService
                    .pendingCount(queue)
                    .thenAccept(pendingCount -> respond(call, pendingCount));
        } else if (path.startsWith(PeerClient.JOBS_PATH)) {
            handleJob(call, path.substring(PeerClient.JOBS_PATH.length()));
        } else {
            respondText(call, PeerClient.NOT_FOUND, "no such path");
        }
    }

    /** Revokes a lease for a daemon that does not reach the store. */
    private void handleLease(HttpCall call, String name) {
        long leaseId;
        try {
            leaseId = Long.parseLong(name);
        } catch (NumberFormatException e) {
            respondText(call, BAD_REQUEST, "\"" + name + "\" is not a lease");
            return;
        }
        if (!call.method().equals("DELETE")) {
            respondText(call, BAD_REQUEST, "method " + call.method() + " is not known");
            return;
        }
        mStore.revokeLease(leaseId)
                .whenComplete((revoked, e) -> respondStoreOutcome(call, e == null));
    }

    private static void respondStoreOutcome(HttpCall call, boolean answered) {
        respondText(
                call,
                answered ? PeerClient.OK : SERVICE_UNAVAILABLE,
                answered ? "store answers" : "store does not answer");
    }

    private void handleConfig(HttpCall call) {
        long afterVersion;
        try {
            afterVersion = Long.parseLong(call.parameter(PeerClient.AFTER_PARAMETER));
        } catch (NumberFormatException e) {
            respondText(
                    call, BAD_REQUEST, "\"" + PeerClient.AFTER_PARAMETER + "\" is not a version");
            return;
        }
        // Read first, so that the configuration is not older than the one that was confirmed.
        Map<String, String> headers =
                mConfigCache.isConfirmed()
                        ? Map.of(PeerClient.CONFIRMED_HEADER, PeerClient.CONFIRMED)
                        : Map.of();
        Optional<ByteString> compressed = mConfigCache.compressedIfNewer(afterVersion);
        if (compressed.isPresent()) {
            byte[] body = compressed.get().toByteArray();
            call.respond(PeerClient.OK, "application/gzip", headers, body);
        } else if (mConfigCache.current().isPresent()) {
            call.respond(PeerClient.NO_CONTENT, "text/plain", headers, new byte[0]);
        } else {
            respondText(call, PeerClient.NOT_FOUND, "no configuration");
        }
    }

    private void handleJob(HttpCall call, String name) {
        JobId id;
        try {
            id = new JobId(name);
        } catch (IllegalArgumentException e) {
            respondText(call, BAD_REQUEST, e.getMessage());
            return;
        }
        switch (call.method()) {
            case "PUT" -> handleAccept(call, id);
            case "DELETE" ->
                    mJobStore
                            .cancel(id)
                            .thenAccept(
                                    outcome ->
                                            respondText(call, PeerClient.OK, Json.write(outcome)));
            default -> mOwnerService.stateOf(id).thenAccept(state -> respond(call, state));
        }
    }

    private void handleAccept(HttpCall call, JobId id) {
        JobRecord record;
        try {
            record = Json.read(call.text(), JobRecord.class);
        } catch (JsonException e) {
            respondText(call, BAD_REQUEST, e.getMessage());
            return;
        }
        mJobStore
                .accept(id, record)
                .thenAccept(outcome -> respondText(call, PeerClient.OK, Json.write(outcome)));
    }

    /** Returns the domains in order, one a line. */
    private static String lines(Set<FailureDomainId> domains) {
        return domains.stream().sorted().map(domain -> domain + "\n").collect(Collectors.joining());
    }

    private static void respond(HttpCall call, Optional<?> value) {
        if (value.isPresent()) {
            respondText(call, PeerClient.OK, value.get().toString());
        } else {
            respondText(call, PeerClient.NOT_FOUND, "not known here");
        }
    }

    private static void respondText(HttpCall call, int status, String text) {
        call.respond(
                status,
                "text/plain",
                Map.of(),
                String.valueOf(text).getBytes(StandardCharsets.UTF_8));
    }
}
