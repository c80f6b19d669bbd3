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
import org.lycheeroad.protocol.api.GangRequest;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.protocol.api.Problem;
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

/** Accepts, shows and cancels gangs. */
public final class GangApi {
    static final String PATH = "/v1/gangs/";

    /** The bound on the start of urgent work; the owner gives up before it. */
    private static final long URGENT_MS = 8_600;

    /** Urgent work waits this long for the store before it goes to the owner directly. */
    private static final long URGENT_STORE_MS = 1_000;

    private static final long CANCEL_MS = 12_000;

    /** Every entry keeps the unfinished jobs of its region in memory. */
    private static final int MAX_PAYLOAD_CHARS = 8_192;

    private static final int JOB_ID_BYTES = 16;

    private final ControlPlane mControl;
    private final EventLog mEvents;
    private final BooleanSupplier mDraining;
    private final SecureRandom mRandom = new SecureRandom();

    /** Creates the interface; new gangs are refused while {@code draining} is true. */
    public GangApi(ControlPlane control, EventLog events, BooleanSupplier draining) {
        mControl = control;
        mEvents = events;
        mDraining = draining;
    }

    void submit(HttpCall call) {
        JobSpec spec;
        try {
            spec = validate(Json.read(call.text(), GangRequest.class));
        } catch (JsonException e) {
            problem(call, 400, e.field(), e.getMessage());
            return;
        } catch (InvalidException e) {
            problem(call, 422, e.mField, e.getMessage());
            return;
        }
        if (mDraining.getAsBoolean() || mControl.currentTable().isEmpty()) {
            answer(call, spec, JobState.NOT_RUN, "entry not ready");
            return;
        }
        long start = System.nanoTime();
        var created = mControl.createJob(spec);
        if (spec.urgent()) {
            created =
                    created.copy()
                            .completeOnTimeout(
                                    new CreateJobResult(CreateJobResult.Status.UNSETTLED, null),
                                    URGENT_STORE_MS,
                                    TimeUnit.MILLISECONDS);
        }
        created.whenComplete(
                (write, e) -> {
                    CreateJobResult.Status status =
                            e == null ? write.status() : CreateJobResult.Status.UNSETTLED;
                    if (status == CreateJobResult.Status.CREATED) {
                        answer(call, spec, JobState.QUEUED, "");
                    } else if (status == CreateJobResult.Status.EXISTS) {
                        existing(call, spec, write.record());
                    } else if (spec.urgent()) {
                        submitUrgent(call, spec, status == CreateJobResult.Status.UNSETTLED, start);
                    } else if (status == CreateJobResult.Status.NOT_STORED) {
                        answer(call, spec, JobState.NOT_RUN, "store not available");
                    } else {
                        answer(call, spec, JobState.UNKNOWN, "store did not confirm");
                    }
                });
    }

    void show(HttpCall call, String id) {
        parsed(id)
                .flatMap(mControl::findJob)
                .ifPresentOrElse(
                        record -> call.answerJson(200, Json.write(status(record))),
                        () -> problem(call, 404, "job", "unknown job"));
    }

    void cancel(HttpCall call, String id) {
        JobId job = parsed(id).orElse(null);
        if (job == null) {
            problem(call, 404, "job", "unknown job");
            return;
        }
        mEvents.record(EventCode.JOB_CANCEL_REQUESTED, id, "", "", "");
        mControl.cancelJob(job, CANCEL_MS)
                .whenComplete(
                        (record, e) -> {
                            if (e == null) {
                                call.answerJson(200, Json.write(status(record)));
                            } else {
                                String reason = "cancellation not confirmed: " + e.getMessage();
                                call.answerJson(
                                        504,
                                        Json.write(
                                                new GangStatus(
                                                        id, JobState.UNKNOWN.name(), reason)));
                            }
                        });
    }

    /**
     * Hands an urgent job to its placement owner.
     *
     * @param maybeStored whether the store may hold the job, so that a later owner may start it
     */
    private void submitUrgent(HttpCall call, JobSpec spec, boolean maybeStored, long startNanos) {
        long spent = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        mControl.submitUrgent(spec, Math.max(1, URGENT_MS - spent))
                .whenComplete(
                        (record, e) -> {
                            if (e == null) {
                                boolean unproved =
                                        maybeStored && record.state() == JobState.NOT_RUN;
                                answer(
                                        call,
                                        spec,
                                        unproved ? JobState.UNKNOWN : record.state(),
                                        record.reason());
                            } else {
                                answer(call, spec, JobState.UNKNOWN, "owner did not answer");
                            }
                        });
    }

    private void existing(HttpCall call, JobSpec spec, JobRecord record) {
        if (!record.spec().equals(spec)) {
            problem(call, 409, "idempotencyKey", "was used for another gang");
            return;
        }
        call.answerJson(202, Json.write(status(record)));
    }

    private void answer(HttpCall call, JobSpec spec, JobState state, String reason) {
        boolean refused = state == JobState.NOT_RUN;
        boolean unknown = state == JobState.UNKNOWN;
        mEvents.record(
                refused || unknown ? EventCode.JOB_NOT_ACCEPTED : EventCode.JOB_ACCEPTED,
                spec.id().value(),
                "",
                spec.team().value(),
                state + " " + reason);
        call.answerJson(
                refused ? 503 : unknown ? 504 : 202,
                Json.write(new GangStatus(spec.id().value(), state.name(), reason)));
    }

    private JobSpec validate(GangRequest request) throws InvalidException {
        TeamId team = field("team", request.team(), TeamId::new);
        KindId kind = field("kind", request.kind(), KindId::new);
        RegionId region = field("region", request.region(), RegionId::new);
        Shape shape = field("shape", request.shape(), Shape::parse);
        if (request.declaredMs() < 0) {
            throw new InvalidException("declaredMs", "must not be negative");
        }
        String payload = request.payload() == null ? "" : request.payload();
        if (payload.length() > MAX_PAYLOAD_CHARS) {
            throw new InvalidException(
                    "payload", "must have at most " + MAX_PAYLOAD_CHARS + " characters");
        }
        OperatorTable table = mControl.currentTable().orElse(null);
        if (table != null
                && table.rows().stream()
                        .noneMatch(
                                row ->
                                        row.work() == WorkClass.GANG
                                                && row.team().equals(team)
                                                && row.region().equals(region))) {
            throw new InvalidException("team", "has no gang row for this region in the table");
        }
        String key = request.idempotencyKey() == null ? "" : request.idempotencyKey();
        return new JobSpec(
                jobId(team, key),
                team,
                kind,
                region,
                shape,
                request.urgent(),
                request.declaredMs(),
                payload);
    }

    /** Derives the id from the idempotency key, so that a repeated submission finds its job. */
    private JobId jobId(TeamId team, String key) {
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
            throw new IllegalStateException("every Java platform has SHA-256", e);
        }
    }

    private static <T> T field(String name, String text, Function<String, T> parse)
            throws InvalidException {
        if (text == null || text.isEmpty()) {
            throw new InvalidException(name, "is missing");
        }
        try {
            return parse.apply(text);
        } catch (IllegalArgumentException e) {
            throw new InvalidException(name, e.getMessage());
        }
    }

    private static java.util.Optional<JobId> parsed(String id) {
        try {
            return java.util.Optional.of(new JobId(id));
        } catch (IllegalArgumentException e) {
            return java.util.Optional.empty();
        }
    }

    private static GangStatus status(JobRecord record) {
        return new GangStatus(
                record.spec().id().value(),
                record.state().name().toUpperCase(Locale.ROOT),
                record.reason());
    }

    private static void problem(HttpCall call, int status, String field, String reason) {
        call.answerJson(status, Json.write(new Problem(field, reason)));
    }

    private static final class InvalidException extends Exception {
        private static final long serialVersionUID = 1;

        private final String mField;

        InvalidException(String field, String reason) {
            super(reason);
            mField = field;
        }
    }
}
