package org.lycheeroad.scheduler.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.config.ConfigKeeper;
import org.lycheeroad.scheduler.intake.JobStore;
import org.lycheeroad.scheduler.owner.OwnerService;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpHandler;

/** Answers the calls of {@link PeerClient}. */
public final class PeerServer implements HttpHandler {
    private static final int BAD_REQUEST = 400;

    private final ConfigKeeper mConfig;
    private final OwnerService mOwner;
    private final JobStore mJobs;

    public PeerServer(ConfigKeeper config, OwnerService owner, JobStore jobs) {
        mConfig = config;
        mOwner = owner;
        mJobs = jobs;
    }

    @Override
    public void handle(HttpCall call) {
        String path = call.path();
        if (path.equals(PeerClient.CONFIG)) {
            config(call);
        } else if (path.startsWith(PeerClient.PENDING)) {
            QueueName queue = new QueueName(path.substring(PeerClient.PENDING.length()));
            mOwner.pending(queue).thenAccept(count -> answer(call, count));
        } else if (path.startsWith(PeerClient.JOBS)) {
            job(call, path.substring(PeerClient.JOBS.length()));
        } else {
            text(call, PeerClient.NOT_FOUND, "no such path");
        }
    }

    private void config(HttpCall call) {
        long after;
        try {
            after = Long.parseLong(call.parameter(PeerClient.AFTER));
        } catch (NumberFormatException e) {
            text(call, BAD_REQUEST, "\"" + PeerClient.AFTER + "\" is not a version");
            return;
        }
        Optional<ByteString> packed = mConfig.packedIfNewer(after);
        if (packed.isPresent()) {
            byte[] body = packed.get().toByteArray();
            call.respond(PeerClient.OK, "application/gzip", Map.of(), body);
        } else if (mConfig.current().isPresent()) {
            call.respond(PeerClient.NO_CONTENT, "text/plain", Map.of(), new byte[0]);
        } else {
            text(call, PeerClient.NOT_FOUND, "no configuration");
        }
    }

    private void job(HttpCall call, String name) {
        JobId id;
        try {
            id = new JobId(name);
        } catch (IllegalArgumentException e) {
            text(call, BAD_REQUEST, e.getMessage());
            return;
        }
        switch (call.method()) {
            case "PUT" -> accept(call, id);
            case "DELETE" ->
                    mJobs.cancel(id).thenAccept(o -> text(call, PeerClient.OK, Json.write(o)));
            default -> mOwner.stateOf(id).thenAccept(state -> answer(call, state));
        }
    }

    private void accept(HttpCall call, JobId id) {
        JobRecord record;
        try {
            record = Json.read(call.text(), JobRecord.class);
        } catch (JsonException e) {
            text(call, BAD_REQUEST, e.getMessage());
            return;
        }
        mJobs.accept(id, record).thenAccept(o -> text(call, PeerClient.OK, Json.write(o)));
    }

    private static void answer(HttpCall call, Optional<?> value) {
        if (value.isPresent()) {
            text(call, PeerClient.OK, value.get().toString());
        } else {
            text(call, PeerClient.NOT_FOUND, "not known here");
        }
    }

    private static void text(HttpCall call, int status, String text) {
        call.respond(
                status,
                "text/plain",
                Map.of(),
                String.valueOf(text).getBytes(StandardCharsets.UTF_8));
    }
}
