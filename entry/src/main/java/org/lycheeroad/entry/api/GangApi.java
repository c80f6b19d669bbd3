package org.lycheeroad.entry.api;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.HexFormat;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.control.CreateJobResult;
import org.lycheeroad.protocol.api.ApiError;
import org.lycheeroad.protocol.api.GangRequest;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.WorkClass;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpCall;

/** HTTP endpoints that submit, show and cancel gangs. */
public final class GangApi {
    static final String PATH_PREFIX = "/v1/gangs/";

    /** Time limit for starting urgent work; the placement owner's own time limit is shorter. */
    private static final long URGENT_TIMEOUT_MS = 8_600;

    /** Wait for the store before urgent work is submitted directly to the placement owner. */
    private static final long URGENT_STORE_TIMEOUT_MS = 1_000;

    private static final long CANCEL_TIMEOUT_MS = 12_000;

    /** Limited because every entry holds the unfinished jobs of its region in memory. */
    private static final int MAX_PAYLOAD_CHARS = 8_192;

    private static final int JOB_ID_BYTES = 16;

    private final ControlPlane mControlPlane;
    private final EventLog mEventLog;
    private final BooleanSupplier mDraining;
    private final SecureRandom mRandom = new SecureRandom();

    /** Creates the endpoints; new gangs are rejected while {@code draining} is true. */
    public GangApi(ControlPlane controlPlane, EventLog eventLog, BooleanSupplier draining) {
        mControlPlane = controlPlane;
        mEventLog = eventLog;
        mDraining = draining;
    }

    void submit(HttpCall call) {
        JobSpec spec;
        try {
            spec = validate(Json.read(call.text(), GangRequest.class));
        } catch (JsonException e) {
            respondProblem(call, 400, e.fieldPath(), e.getMessage());
            return;
        } catch (InvalidFieldException e) {
            respondProblem(call, 422, e.mField, e.getMessage());
            return;
        }
        if (mDraining.getAsBoolean() || mControlPlane.currentTable().isEmpty()) {
            respond(call, spec, JobState.NOT_RUN, "entry not ready");
            return;
        }
        long startNanos = System.nanoTime();
        var creation = mControlPlane.createJob(spec);
        if (spec.urgent()) {
            creation =
                    creation.copy()
                            .completeOnTimeout(
                                    new CreateJobResult(CreateJobResult.Status.UNSETTLED, null),
                                    URGENT_STORE_TIMEOUT_MS,
                                    TimeUnit.MILLISECONDS);
        }
        creation.whenComplete(
                (result, e) -> {
                    CreateJobResult.Status status =
                            e == null ? result.status() : CreateJobResult.Status.UNSETTLED;
                    if (status == CreateJobResult.Status.CREATED) {
                        respond(call, spec, JobState.QUEUED, "");
                    } else if (status == CreateJobResult.Status.EXISTS) {
                        respondExisting(call, spec, result.record());
                    } else if (spec.urgent()) {
                        submitToOwner(
                                call, spec, status == CreateJobResult.Status.UNSETTLED, startNanos);
                    } else if (status == CreateJobResult.Status.NOT_STORED) {
                        respond(call, spec, JobState.NOT_RUN, "store not available");
                    } else {
                        respond(call, spec, JobState.UNKNOWN, "store did not confirm");
                    }
                });
    }

    void show(HttpCall call, String id) {
        parseJobId(id)
                .flatMap(mControlPlane::findJob)
                .ifPresentOrElse(
                        record -> call.respondJson(200, Json.write(toGangStatus(record))),
                        () -> respondProblem(call, 404, "job", "unknown job"));
    }

    void cancel(HttpCall call, String id) {
        JobId job = parseJobId(id).orElse(null);
        if (job == null) {
            respondProblem(call, 404, "job", "unknown job");
            return;
        }
        mEventLog.record(EventCode.JOB_CANCEL_REQUESTED, id, "", "", "");
        mControlPlane
                .cancelJob(job, CANCEL_TIMEOUT_MS)
                .whenComplete(
                        (record, e) -> {
                            if (e == null) {
                                call.respondJson(200, Json.write(toGangStatus(record)));
                            } else {
                                String reason = "cancellation not confirmed: " + e.getMessage();
                                call.respondJson(
                                        504,
                                        Json.write(
                                                new GangStatus(
                                                        id, JobState.UNKNOWN.name(), reason)));
                            }
                        });
    }

    /**
     * Submits an urgent job to its placement owner.
     *
     * @param maybeStored whether the store may contain the job, in which case a later owner could
     *     start it
     */
    private void submitToOwner(HttpCall call, JobSpec spec, boolean maybeStored, long startNanos) {
        long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        mControlPlane
                .submitUrgent(spec, Math.max(1, URGENT_TIMEOUT_MS - elapsedMs))
                .whenComplete(
                        (record, e) -> {
                            if (e == null) {
                                boolean startUncertain =
                                        maybeStored && record.state() == JobState.NOT_RUN;
                                respond(
                                        call,
                                        spec,
                                        startUncertain ? JobState.UNKNOWN : record.state(),
                                        record.reason());
                            } else {
                                respond(call, spec, JobState.UNKNOWN, "owner did not answer");
                            }
                        });
    }

    private void respondExisting(HttpCall call, JobSpec spec, JobRecord record) {
        if (!record.spec().equals(spec)) {
            respondProblem(call, 409, "idempotencyKey", "was used for another gang");
            return;
        }
        call.respondJson(202, Json.write(toGangStatus(record)));
    }

    private void respond(HttpCall call, JobSpec spec, JobState state, String reason) {
        boolean rejected = state == JobState.NOT_RUN;
        boolean unknown = state == JobState.UNKNOWN;
        mEventLog.record(
                rejected || unknown ? EventCode.JOB_NOT_ACCEPTED : EventCode.JOB_ACCEPTED,
                spec.id().value(),
                "",
                spec.team().value(),
                state + " " + reason);
        call.respondJson(
                rejected ? 503 : unknown ? 504 : 202,
                Json.write(new GangStatus(spec.id().value(), state.name(), reason)));
    }

    private JobSpec validate(GangRequest request) throws InvalidFieldException {
        TeamId team = parseField("team", request.team(), TeamId::new);
        KindId kind = parseField("kind", request.kind(), KindId::new);
        RegionId region = parseField("region", request.region(), RegionId::new);
        Shape shape = parseField("shape", request.shape(), Shape::parse);
        if (request.declaredMs() < 0) {
            throw new InvalidFieldException("declaredMs", "must not be negative");
        }
        String payload = request.payload() == null ? "" : request.payload();
        if (payload.length() > MAX_PAYLOAD_CHARS) {
            throw new InvalidFieldException(
                    "payload", "must have at most " + MAX_PAYLOAD_CHARS + " characters");
        }
        OperatorTable table = mControlPlane.currentTable().orElse(null);
        if (table != null
                && table.rows().stream()
                        .noneMatch(
                                row ->
                                        row.work() == WorkClass.GANG
                                                && row.team().equals(team)
                                                && row.region().equals(region))) {
            throw new InvalidFieldException("team", "has no gang row for this region in the table");
        }
        String key = request.idempotencyKey() == null ? "" : request.idempotencyKey();
        return new JobSpec(
                newJobId(team, key),
                team,
                kind,
                region,
                shape,
                request.urgent(),
                request.declaredMs(),
                payload);
    }

    /**
     * Returns a job id derived from the idempotency key, so that a repeated submission finds its
     * job, or a random id if there is no key.
     */
    private JobId newJobId(TeamId team, String key) {
        byte[] bytes = new byte[JOB_ID_BYTES];
        if (key.isEmpty()) {
            mRandom.nextBytes(bytes);
        } else {
            byte[] digest = sha256().digest((team + "\n" + key).getBytes(StandardCharsets.UTF_8));
            System.arraycopy(digest, 0, bytes, 0, bytes.length);
        }
        return new JobId("j-" + HexFormat.of().formatHex(bytes));
    }

    private static MessageDigest sha256() {
        try {
            return MessageDigest.getInstance("SHA-256");
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static <T> T parseField(String name, String text, Function<String, T> parse)
            throws InvalidFieldException {
        if (text == null || text.isEmpty()) {
            throw new InvalidFieldException(name, "is missing");
        }
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidFieldException(name, e.getMessage());
        }
    }

    private static java.util.Optional<JobId> parseJobId(String id) {
        try {
            return java.util.Optional.of(new JobId(id));
        } catch (IllegalArgumentException e) {
            return java.util.Optional.empty();
        }
    }

    private static GangStatus toGangStatus(JobRecord record) {
        return new GangStatus(
                record.spec().id().value(),
                record.state().name().toUpperCase(Locale.ROOT),
                record.reason());
    }

    private static void respondProblem(HttpCall call, int status, String field, String reason) {
        call.respondJson(status, Json.write(new ApiError(field, reason)));
    }

    private static final class InvalidFieldException extends Exception {
        private static final long serialVersionUID = 1;

        private final String mField;

        InvalidFieldException(String field, String reason) {
            super(reason);
            mField = field;
        }
    }
}
