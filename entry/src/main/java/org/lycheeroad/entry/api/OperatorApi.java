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

/** The operators' interface: page, table, status, events and metrics. */
public final class OperatorApi implements HttpHandler {
    private static final String BEARER = "Bearer ";

    private final ControlPlane mControl;
    private final TableChecker mChecker;
    private final EventLog mEvents;
    private final EntryMetrics mMetrics;
    private final Supplier<String> mStatusJson;
    private final byte[] mToken;
    private final OperatorPage mPage = new OperatorPage();
    private final TableEditor mEditor;

    /**
     * Creates the interface.
     *
     * @param token the bearer token that every call must carry, or empty for none
     */
    public OperatorApi(
            ControlPlane control,
            EventLog events,
            EntryMetrics metrics,
            Supplier<String> statusJson,
            TableChecker checker,
            String token) {
        mChecker = checker;
        mControl = control;
        mEditor = new TableEditor(control);
        mEvents = events;
        mMetrics = metrics;
        mStatusJson = statusJson;
        mToken = token.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void handle(HttpCall call) {
        if (mPage.serve(call)) {
            return;
        }
        if (mToken.length == 0 && !LoopbackName.isNamedBy(call.header("host"))) {
            text(call, 403, "without a token, call this entry by IP number or as localhost\n");
            return;
        }
        if (!isAllowed(call)) {
            call.answer(401, "text/plain", Map.of("WWW-Authenticate", "Bearer"), bytes("denied\n"));
            return;
        }
        switch (call.method() + " " + call.path()) {
            case "GET /ops/v1/table" -> showTable(call);
            case "PUT /ops/v1/table" -> saveTable(call);
            case "POST /ops/v1/table/check" -> checkTable(call);
            case "GET /ops/v1/table/cells" -> mEditor.show(call);
            case "POST /ops/v1/table/paste" -> mEditor.paste(call);
            case "POST /ops/v1/table/merge" -> mEditor.merge(call);
            case "GET /ops/v1/status" -> call.answerJson(200, mStatusJson.get());
            case "GET /ops/v1/events" -> showEvents(call);
            case "GET /metrics" ->
                    call.answer(
                            200,
                            "text/plain; version=0.0.4; charset=utf-8",
                            Map.of(),
                            bytes(mMetrics.scrape()));
            default -> text(call, 404, "not found\n");
        }
    }

    private boolean isAllowed(HttpCall call) {
        if (mToken.length == 0) {
            return true;
        }
        String header = call.header("authorization");
        return header.startsWith(BEARER)
                && MessageDigest.isEqual(mToken, bytes(header.substring(BEARER.length())));
    }

    private void showTable(HttpCall call) {
        OperatorTable table = mControl.currentTable().orElse(null);
        if (table == null) {
            // Saving with version 0 is safe even if this entry is behind: the store refuses it.
            text(call, 404, "no table is in force on this entry yet\n");
            return;
        }
        call.answer(
                200,
                "text/csv; charset=utf-8",
                Map.of("ETag", etag(table.version())),
                bytes(mControl.tableCsv()));
    }

    private void saveTable(HttpCall call) {
        String match = call.header("if-match");
        if (match.isEmpty()) {
            text(call, 428, "If-Match with the version that was edited is required\n");
            return;
        }
        long expected;
        try {
            expected = Long.parseLong(match.replace("\"", "").trim());
        } catch (NumberFormatException e) {
            text(call, 400, "If-Match must be a version in quotes\n");
            return;
        }
        if (!mChecker.isReady()) {
            text(call, 503, "the list of workers has not been read yet\n");
            return;
        }
        List<TableProblem> problems = mChecker.check(call.text());
        if (!problems.isEmpty()) {
            saved(call, new SaveTableResult(SaveTableResult.Status.INVALID, expected, problems));
            return;
        }
        mControl.saveTable(call.text(), expected)
                .whenComplete(
                        (result, e) -> {
                            if (e == null) {
                                saved(call, result);
                            } else {
                                text(call, 504, "it is not known whether the table was saved\n");
                            }
                        });
    }

    private void saved(HttpCall call, SaveTableResult result) {
        boolean accepted = result.status() == SaveTableResult.Status.ACCEPTED;
        if (result.status() == SaveTableResult.Status.INVALID
                || result.status() == SaveTableResult.Status.UNAVAILABLE) {
            mEvents.record(EventCode.TABLE_SAVE_REFUSED, result.status().name());
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
        call.answer(status, "application/json", headers, bytes(Json.write(result)));
    }

    private void checkTable(HttpCall call) {
        if (!mChecker.isReady()) {
            text(call, 503, "the list of workers has not been read yet\n");
            return;
        }
        List<TableProblem> problems = mChecker.check(call.text());
        call.answerJson(problems.isEmpty() ? 200 : 422, Json.write(Map.of("problems", problems)));
    }

    private void showEvents(HttpCall call) {
        long after;
        try {
            String text = call.parameter("after");
            after = text.isEmpty() ? 0 : Long.parseLong(text);
        } catch (NumberFormatException e) {
            text(call, 400, "after must be a whole number\n");
            return;
        }
        String job = call.parameter("job");
        String request = call.parameter("request");
        String team = call.parameter("team");
        call.answerJson(
                200,
                Json.write(
                        mEvents.page(
                                after,
                                event ->
                                        (job.isEmpty() || job.equals(event.job()))
                                                && (request.isEmpty()
                                                        || request.equals(event.request()))
                                                && (team.isEmpty() || team.equals(event.team())))));
    }

    private static String etag(long version) {
        return "\"" + version + "\"";
    }

    private static void text(HttpCall call, int status, String text) {
        call.answer(status, "text/plain", Map.of(), bytes(text));
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
