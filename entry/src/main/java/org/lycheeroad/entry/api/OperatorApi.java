package org.lycheeroad.entry.api;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.control.SaveTableResult;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableProblem;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpHandler;

/** HTTP API for operators: web page, table, status, events and metrics. */
public final class OperatorApi implements HttpHandler {
    private static final String BEARER_PREFIX = "Bearer ";

    private final ControlPlane mControlPlane;
    private final TableValidator mTableValidator;
    private final EventLog mEventLog;
    private final EntryMetrics mMetrics;
    private final Supplier<String> mStatusJson;
    private final byte[] mTokenBytes;
    private final OperatorPage mPage = new OperatorPage();
    private final TableEditor mTableEditor;

    /**
     * Creates the API.
     *
     * @param token the bearer token required in every call, or empty if none is required
     */
    public OperatorApi(
            ControlPlane controlPlane,
            EventLog eventLog,
            EntryMetrics metrics,
            Supplier<String> statusJson,
            TableValidator tableValidator,
            String token) {
        mTableValidator = tableValidator;
        mControlPlane = controlPlane;
        mTableEditor = new TableEditor(controlPlane);
        mEventLog = eventLog;
        mMetrics = metrics;
        mStatusJson = statusJson;
        mTokenBytes = token.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void handle(HttpCall call) {
        if (mPage.serve(call)) {
            return;
        }
        if (mTokenBytes.length == 0 && !DnsRebindingGuard.isAllowedHost(call.header("host"))) {
            respondText(
                    call, 403, "without a token, call this entry by IP number or as localhost\n");
            return;
        }
        if (!isAuthorized(call)) {
            call.respond(
                    401, "text/plain", Map.of("WWW-Authenticate", "Bearer"), toUtf8("denied\n"));
            return;
        }
        switch (call.method() + " " + call.path()) {
            case "GET /ops/v1/table" -> showTable(call);
            case "PUT /ops/v1/table" -> saveTable(call);
            case "POST /ops/v1/table/check" -> validateTable(call);
            case "GET /ops/v1/table/cells" -> mTableEditor.show(call);
            case "POST /ops/v1/table/paste" -> mTableEditor.paste(call);
            case "POST /ops/v1/table/merge" -> mTableEditor.merge(call);
            case "GET /ops/v1/status" -> call.respondJson(200, mStatusJson.get());
            case "GET /ops/v1/events" -> showEvents(call);
            case "GET /metrics" ->
                    call.respond(
                            200,
                            "text/plain; version=0.0.4; charset=utf-8",
                            Map.of(),
                            toUtf8(mMetrics.scrape()));
            default -> respondText(call, 404, "not found\n");
        }
    }

    private boolean isAuthorized(HttpCall call) {
        if (mTokenBytes.length == 0) {
            return true;
        }
        String header = call.header("authorization");
        return header.startsWith(BEARER_PREFIX)
                && MessageDigest.isEqual(
                        mTokenBytes, toUtf8(header.substring(BEARER_PREFIX.length())));
    }

    private void showTable(HttpCall call) {
        OperatorTable table = mControlPlane.currentTable().orElse(null);
        if (table == null) {
            // A client may then save with version 0. If this entry is merely out of date, the store
            // rejects that save.
            respondText(call, 404, "no table is in force on this entry yet\n");
            return;
        }
        call.respond(
                200,
                "text/csv; charset=utf-8",
                Map.of("ETag", etag(table.version())),
                toUtf8(mControlPlane.tableCsv()));
    }

    private void saveTable(HttpCall call) {
        String ifMatch = call.header("if-match");
        if (ifMatch.isEmpty()) {
            respondText(call, 428, "If-Match with the version that was edited is required\n");
            return;
        }
        long expectedVersion;
        try {
            expectedVersion = Long.parseLong(ifMatch.replace("\"", "").trim());
        } catch (NumberFormatException e) {
            respondText(call, 400, "If-Match must be a version in quotes\n");
            return;
        }
        if (!mTableValidator.isReady()) {
            respondText(call, 503, "the list of workers has not been read yet\n");
            return;
        }
        List<TableProblem> problems = mTableValidator.validate(call.text());
        if (!problems.isEmpty()) {
            respondToSave(
                    call,
                    new SaveTableResult(SaveTableResult.Status.INVALID, expectedVersion, problems));
            return;
        }
        mControlPlane
                .saveTable(call.text(), expectedVersion)
                .whenComplete(
                        (result, e) -> {
                            if (e == null) {
                                respondToSave(call, result);
                            } else {
                                respondText(
                                        call, 504, "it is not known whether the table was saved\n");
                            }
                        });
    }

    private void respondToSave(HttpCall call, SaveTableResult result) {
        boolean accepted = result.status() == SaveTableResult.Status.ACCEPTED;
        if (result.status() == SaveTableResult.Status.INVALID
                || result.status() == SaveTableResult.Status.UNAVAILABLE) {
            mEventLog.record(EventCode.TABLE_SAVE_REFUSED, result.status().name());
        }
        int status =
                switch (result.status()) {
                    case ACCEPTED -> 200;
                    case INVALID -> 422;
                    case CONFLICT -> 412;
                    case UNAVAILABLE -> 503;
                    case UNSETTLED -> 504;
                };
        Map<String, String> headers =
                accepted || result.status() == SaveTableResult.Status.CONFLICT
                        ? Map.of("ETag", etag(result.version()))
                        : Map.of();
        call.respond(status, "application/json", headers, toUtf8(Json.write(result)));
    }

    private void validateTable(HttpCall call) {
        if (!mTableValidator.isReady()) {
            respondText(call, 503, "the list of workers has not been read yet\n");
            return;
        }
        List<TableProblem> problems = mTableValidator.validate(call.text());
        call.respondJson(problems.isEmpty() ? 200 : 422, Json.write(Map.of("problems", problems)));
    }

    private void showEvents(HttpCall call) {
        long afterSequence;
        try {
            String text = call.parameter("after");
            afterSequence = text.isEmpty() ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            respondText(call, 400, "after must be a whole number\n");
            return;
        }
        String job = call.parameter("job");
        String request = call.parameter("request");
        String team = call.parameter("team");
        call.respondJson(
                200,
                Json.write(
                        mEventLog.page(
                                afterSequence,
                                event ->
                                        (job.isEmpty() || job.equals(event.job()))
                                                && (request.isEmpty()
                                                        || request.equals(event.request()))
                                                && (team.isEmpty() || team.equals(event.team())))));
    }

    private static String etag(long version) {
        return "\"" + version + "\"";
    }

    private static void respondText(HttpCall call, int status, String text) {
        call.respond(status, "text/plain", Map.of(), toUtf8(text));
    }

    private static byte[] toUtf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
