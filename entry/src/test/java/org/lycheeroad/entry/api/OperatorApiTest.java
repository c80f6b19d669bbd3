package org.lycheeroad.entry.api;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpResponse;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.lycheeroad.entry.FakeControlPlane;
import org.lycheeroad.entry.control.SaveTableResult;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.transport.events.EventLog;

/** Tests the operators' API over HTTP with an in-memory control plane. */
final class OperatorApiTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TOKEN = "0123456789abcdef";
    private static final String TABLE_PATH = "/ops/v1/table";
    private static final String ROWS_JSON =
            "[[\"montaz\",\"request\",\"photo\",\"mazowsze\",\"%s\",\"\",\"\",\"5000\"],"
                    + "[\"montaz\",\"gang\",\"render\",\"mazowsze\",\"1\",\"\",\"\",\"60000\"]]";

    private final FakeControlPlane mControlPlane = new FakeControlPlane();
    private final TableValidator mTableValidator = new TableValidator();
    private final EventLog mEventLog = new EventLog(new EntryId("e1"), new HybridClock(), 64);
    private ApiTestServer mServer = startServer("");

    @AfterEach
    void stop() {
        mServer.close();
    }

    @Nested
    final class Page {
        /** Guards against a page that can load resources or run scripts from other origins. */
        @ParameterizedTest
        @CsvSource({
            "/ops/,text/html",
            "/ops/page.js,text/javascript",
            "/ops/grid.js,text/javascript",
            "/ops/page.css,text/css"
        })
        void isServedUnderStrictPolicy(String path, String type) throws Exception {
            HttpResponse<String> response = mServer.get(path);
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(header(response, "Content-Type")).isEqualTo(type + "; charset=utf-8");
            assertThat(header(response, "Content-Security-Policy"))
                    .startsWith("default-src 'none'; script-src 'self';")
                    .contains("frame-ancestors 'none'")
                    .doesNotContain("unsafe");
            assertThat(header(response, "X-Content-Type-Options")).isEqualTo("nosniff");
            assertThat(header(response, "Cache-Control")).isEqualTo("no-store");
        }

        /** Guards against cell values that the browser interprets as markup. */
        @ParameterizedTest
        @ValueSource(strings = {"/ops/", "/ops/page.js", "/ops/grid.js"})
        void insertsNoTextAsMarkup(String path) throws Exception {
            assertThat(mServer.get(path).body())
                    .doesNotContain("innerHTML", "outerHTML", "insertAdjacentHTML")
                    .doesNotContain("document.write", "eval(", "style=", "onclick=", "://");
        }

        /** Guards against DNS rebinding: a domain of another site that resolves to loopback. */
        @ParameterizedTest
        @CsvSource({
            "attacker.example:7002,403",
            "127.0.0.1.attacker.example,403",
            "127.0.0.1:7002,200",
            "localhost,200",
            "[::1]:7002,200"
        })
        void requiresAddressOrLocalhostAsHostWithoutToken(String host, int status)
                throws Exception {
            assertThat(mServer.statusWithHost("/ops/v1/events", host)).isEqualTo(status);
        }

        /** Guards against serving other classpath resources under the page's path. */
        @ParameterizedTest
        @ValueSource(strings = {"/ops/logback.xml", "/ops/../logback.xml", "/ops/%2e%2e/x"})
        void servesNothingElse(String path) throws Exception {
            assertThat(mServer.get(path).statusCode()).isEqualTo(404);
        }

        /** Guards against a page that a browser cannot load because it has no token yet. */
        @Test
        void needsNoTokenButItsCallsDo() throws Exception {
            useToken();
            assertThat(mServer.get("/ops/").statusCode()).isEqualTo(200);
            assertThat(mServer.get(TABLE_PATH + "/cells").statusCode()).isEqualTo(401);
            assertThat(mServer.call("POST", TABLE_PATH + "/merge", "{}").statusCode())
                    .isEqualTo(401);
            assertThat(
                            mServer.get(TABLE_PATH + "/cells", "Authorization", "Bearer " + TOKEN)
                                    .statusCode())
                    .isEqualTo(200);
        }
    }

    @Nested
    final class Editor {
        /** Guards against editing that starts from cells other than the current ones. */
        @Test
        void returnsTheCurrentCells() throws Exception {
            JsonNode table = MAPPER.readTree(mServer.get(TABLE_PATH + "/cells").body());
            assertThat(table.path("version").asLong()).isEqualTo(1);
            assertThat(table.path("cells")).isEqualTo(MAPPER.readTree(ROWS_JSON.formatted(1)));
            mControlPlane.clearTable();
            JsonNode missingTable = MAPPER.readTree(mServer.get(TABLE_PATH + "/cells").body());
            assertThat(missingTable.path("version").asLong()).isZero();
            assertThat(missingTable.path("cells")).isEmpty();
        }

        /** Guards against reporting a save as failed when only its response was lost. */
        @Test
        void detectsThatTheSavedTableIsCurrent() throws Exception {
            mTableValidator.setWorkers(List.of());
            putTable(
                    FakeControlPlane.TABLE_CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5"),
                    "\"1\"");
            JsonNode merged = merge(ROWS_JSON.formatted(1), ROWS_JSON.formatted(7));
            assertThat(merged.path("version").asLong()).isEqualTo(2);
            assertThat(merged.path("merge").path("outcome").asText()).isEqualTo("SAME");
        }

        /** Guards against a merge that hides changes saved by another operator. */
        @Test
        void returnsTheCellsThatBothChanged() throws Exception {
            mTableValidator.setWorkers(List.of());
            putTable(
                    FakeControlPlane.TABLE_CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5"),
                    "\"1\"");
            JsonNode merge = merge(ROWS_JSON.formatted(1), ROWS_JSON.formatted(9)).path("merge");
            assertThat(merge.path("outcome").asText()).isEqualTo("CHANGED");
            assertThat(merge.path("differences"))
                    .isEqualTo(
                            MAPPER.readTree(
                                    "[{\"row\":1,\"column\":\"weight\",\"yours\":\"9\","
                                            + "\"stored\":\"7\",\"side\":\"OPEN\"}]"));
        }

        /** Guards against pasting only part of a malformed block. */
        @Test
        void rejectsMalformedBlocksAndTables() throws Exception {
            assertThat(mServer.call("POST", TABLE_PATH + "/paste", "a\tb\nc").body())
                    .isEqualTo("{\"cells\":[[\"a\",\"b\"],[\"c\"]]}");
            assertThat(mServer.call("POST", TABLE_PATH + "/paste", "\"a").statusCode())
                    .isEqualTo(422);
            for (String edit : List.of("", "{}", "{\"base\":[],\"yours\":[[\"a\"]]}")) {
                assertThat(mServer.call("POST", TABLE_PATH + "/merge", edit).statusCode())
                        .isEqualTo(400);
            }
        }

        private JsonNode merge(String base, String yours) throws Exception {
            String edit = "{\"base\":" + base + ",\"yours\":" + yours + "}";
            return MAPPER.readTree(mServer.call("POST", TABLE_PATH + "/merge", edit).body());
        }
    }

    @Nested
    final class Saves {
        /** Guards against reporting a save as accepted that did not replace the table. */
        @Test
        void areAcceptedWithTheNextVersion() throws Exception {
            mTableValidator.setWorkers(List.of());
            String csv = FakeControlPlane.TABLE_CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5");
            HttpResponse<String> response = putTable(csv, "\"1\"");
            assertThat(response.statusCode()).isEqualTo(200);
            assertThat(header(response, "ETag")).isEqualTo("\"2\"");
            assertThat(mServer.get(TABLE_PATH).body()).isEqualTo(csv);
        }

        /** Guards against a conflict response that does not list the differences. */
        @Test
        void ofAnOlderVersionReturnTheDifferingCells() throws Exception {
            mTableValidator.setWorkers(List.of());
            putTable(
                    FakeControlPlane.TABLE_CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5"),
                    "\"1\"");
            HttpResponse<String> response = putTable(FakeControlPlane.TABLE_CSV, "\"1\"");
            assertThat(response.statusCode()).isEqualTo(412);
            assertThat(header(response, "ETag")).isEqualTo("\"2\"");
            assertThat(MAPPER.readTree(response.body()).path("problems"))
                    .singleElement()
                    .extracting(
                            problem ->
                                    problem.path("row").asInt() + problem.path("column").asText())
                    .isEqualTo("1weight");
        }

        /** Guards against reporting one problem at a time, and against saving an invalid table. */
        @Test
        void withProblemsReportAllOfThem() throws Exception {
            mTableValidator.setWorkers(List.of());
            String csv =
                    FakeControlPlane.TABLE_CSV
                            .replace("mazowsze,1,,,5000", "mazowsze,0,x,,5000")
                            .replace("1,,,60000", "1,,2x8@rack,");
            String invalidCsv = csv.replace(",0,x,", ",1,,");
            assertThat(mServer.call("POST", TABLE_PATH + "/check", csv).body())
                    .contains("\"row\":1,\"column\":\"weight\"", "\"row\":1,\"column\":\"limit\"");
            HttpResponse<String> response = putTable(invalidCsv, "\"1\"");
            assertThat(response.statusCode()).isEqualTo(422);
            assertThat(response.body()).contains("\"row\":2,\"column\":\"guarantee\"");
            assertThat(header(mServer.get(TABLE_PATH), "ETag")).isEqualTo("\"1\"");
            assertThat(mEventLog.page(0, event -> true).events())
                    .extracting(event -> event.number())
                    .contains(EventCode.TABLE_SAVE_REFUSED.number());
        }

        /** Guards against confusing a save that failed with one whose outcome is unknown. */
        @ParameterizedTest
        @CsvSource({"UNAVAILABLE,503", "UNSETTLED,504"})
        void reportUnavailableAndUnsettledDifferently(SaveTableResult.Status outcome, int status)
                throws Exception {
            mTableValidator.setWorkers(List.of());
            mControlPlane.saveStatusOverride = outcome;
            HttpResponse<String> response = putTable(FakeControlPlane.TABLE_CSV, "\"1\"");
            assertThat(response.statusCode()).isEqualTo(status);
            assertThat(response.body()).contains("\"" + outcome + "\"");
            assertThat(response.headers().firstValue("ETag")).isEmpty();
        }

        /** Guards against overwriting an unseen version, and against saving without validation. */
        @Test
        void requireVersionAndKnownWorkers() throws Exception {
            assertThat(putTable(FakeControlPlane.TABLE_CSV, "\"1\"").statusCode()).isEqualTo(503);
            assertThat(mServer.call("POST", TABLE_PATH + "/check", "").statusCode()).isEqualTo(503);
            mTableValidator.setWorkers(List.of());
            assertThat(mServer.call("PUT", TABLE_PATH, FakeControlPlane.TABLE_CSV).statusCode())
                    .isEqualTo(428);
            assertThat(putTable(FakeControlPlane.TABLE_CSV, "*").statusCode()).isEqualTo(400);
            assertThat(header(mServer.get(TABLE_PATH), "ETag")).isEqualTo("\"1\"");
        }
    }

    @Nested
    final class Reads {
        /** Guards against endpoints that ignore the configured token. */
        @ParameterizedTest
        @ValueSource(strings = {TABLE_PATH, "/ops/v1/status", "/ops/v1/events", "/metrics", "/x"})
        void requireTheToken(String path) throws Exception {
            useToken();
            assertThat(mServer.get(path).statusCode()).isEqualTo(401);
            assertThat(mServer.get(path, "Authorization", "Bearer " + TOKEN + "0").statusCode())
                    .isEqualTo(401);
            assertThat(mServer.get(path, "Authorization", "Bearer " + TOKEN).statusCode())
                    .isEqualTo(path.equals("/x") ? 404 : 200);
        }

        /** Guards against event pages that repeat events or ignore the filter. */
        @Test
        void eventsAreFilteredAndPaged() throws Exception {
            mEventLog.record(EventCode.JOB_ACCEPTED, "j-1", "", "montaz", "QUEUED");
            mEventLog.record(EventCode.JOB_ACCEPTED, "j-2", "", "kluby", "QUEUED");
            JsonNode page = MAPPER.readTree(mServer.get("/ops/v1/events?team=kluby").body());
            assertThat(page.path("events"))
                    .singleElement()
                    .extracting(event -> event.path("job").asText())
                    .isEqualTo("j-2");
            String nextPagePath = "/ops/v1/events?after=" + page.path("next").asLong();
            assertThat(MAPPER.readTree(mServer.get(nextPagePath).body()).path("events")).isEmpty();
            assertThat(mServer.get("/ops/v1/events?after=now").statusCode()).isEqualTo(400);
        }

        /** Guards against returning an empty table on an entry that has none. */
        @Test
        void reportThatNoTableExists() throws Exception {
            mControlPlane.clearTable();
            assertThat(mServer.get(TABLE_PATH).statusCode()).isEqualTo(404);
        }
    }

    private HttpResponse<String> putTable(String csv, String version) throws Exception {
        return mServer.call("PUT", TABLE_PATH, csv, "If-Match", version);
    }

    private void useToken() {
        mServer.close();
        mServer = startServer(TOKEN);
    }

    private ApiTestServer startServer(String token) {
        try {
            return new ApiTestServer(
                    new OperatorApi(
                            mControlPlane,
                            mEventLog,
                            new EntryMetrics(),
                            () -> "{}",
                            mTableValidator,
                            token));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static String header(HttpResponse<String> response, String name) {
        return response.headers().firstValue(name).orElse("");
    }
}
