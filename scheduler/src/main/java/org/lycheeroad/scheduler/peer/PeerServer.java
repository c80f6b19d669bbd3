package org.lycheeroad.scheduler.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.intake.JobStore;
import org.lycheeroad.scheduler.owner.OwnerService;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpHandler;

/** Serves the requests of {@link PeerClient}. */
public final class PeerServer implements HttpHandler {
    private static final int BAD_REQUEST = 400;

    private final ConfigCache mConfigCache;
    private final OwnerService mOwnerService;
    private final JobStore mJobStore;

    public PeerServer(ConfigCache config, OwnerService owner, JobStore jobs) {
        mConfigCache = config;
        mOwnerService = owner;
        mJobStore = jobs;
    }

    @Override
    public void handle(HttpCall call) {
        String path = call.path();
        if (path.equals(PeerClient.CONFIG_PATH)) {
            handleConfig(call);
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

    private void handleConfig(HttpCall call) {
        long afterVersion;
        try {
            afterVersion = Long.parseLong(call.parameter(PeerClient.AFTER_PARAMETER));
        } catch (NumberFormatException e) {
            respondText(
                    call, BAD_REQUEST, "\"" + PeerClient.AFTER_PARAMETER + "\" is not a version");
            return;
        }
        Optional<ByteString> compressed = mConfigCache.compressedIfNewer(afterVersion);
        if (compressed.isPresent()) {
            byte[] body = compressed.get().toByteArray();
            call.respond(PeerClient.OK, "application/gzip", Map.of(), body);
        } else if (mConfigCache.current().isPresent()) {
            call.respond(PeerClient.NO_CONTENT, "text/plain", Map.of(), new byte[0]);
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
