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

/** The operators' interface over HTTP, with a control plane in memory. */
final class OperatorApiTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String TOKEN = "0123456789abcdef";
    private static final String TABLE = "/ops/v1/table";
    private static final String ROWS =
            "[[\"montaz\",\"request\",\"photo\",\"mazowsze\",\"%s\",\"\",\"\",\"5000\"],"
                    + "[\"montaz\",\"gang\",\"render\",\"mazowsze\",\"1\",\"\",\"\",\"60000\"]]";

    private final FakeControlPlane mControl = new FakeControlPlane();
    private final TableChecker mChecker = new TableChecker();
    private final EventLog mEvents = new EventLog(new EntryId("e1"), new HybridClock(), 64);
    private ServedApi mApi = serve("");

    @AfterEach
    void stop() {
        mApi.close();
    }

    @Nested
    final class Page {
        /** Guards against a page that loads or runs something from elsewhere. */
        @ParameterizedTest
        @CsvSource({
            "/ops/,text/html",
            "/ops/page.js,text/javascript",
            "/ops/grid.js,text/javascript",
            "/ops/page.css,text/css"
        })
        void isServedUnderStrictPolicy(String path, String type) throws Exception {
            HttpResponse<String> answer = mApi.get(path);
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(header(answer, "Content-Type")).isEqualTo(type + "; charset=utf-8");
            assertThat(header(answer, "Content-Security-Policy"))
                    .startsWith("default-src 'none'; script-src 'self';")
                    .contains("frame-ancestors 'none'")
                    .doesNotContain("unsafe");
            assertThat(header(answer, "X-Content-Type-Options")).isEqualTo("nosniff");
            assertThat(header(answer, "Cache-Control")).isEqualTo("no-store");
        }

        /** Guards against cell values that the browser takes for markup. */
        @ParameterizedTest
        @ValueSource(strings = {"/ops/", "/ops/page.js", "/ops/grid.js"})
        void putsNoTextIntoMarkup(String path) throws Exception {
            assertThat(mApi.get(path).body())
                    .doesNotContain("innerHTML", "outerHTML", "insertAdjacentHTML")
                    .doesNotContain("document.write", "eval(", "style=", "onclick=", "://");
        }

        /** Guards against a web page that reaches the loopback address through its own domain. */
        @ParameterizedTest
        @CsvSource({
            "attacker.example:7002,403",
            "127.0.0.1.attacker.example,403",
            "127.0.0.1:7002,200",
            "localhost,200",
            "[::1]:7002,200"
        })
        void needsTheMachinesOwnNameWithoutToken(String host, int status) throws Exception {
            assertThat(mApi.statusWithHost("/ops/v1/events", host)).isEqualTo(status);
        }

        /** Guards against files of the entry that can be read through the page's address. */
        @ParameterizedTest
        @ValueSource(strings = {"/ops/logback.xml", "/ops/../logback.xml", "/ops/%2e%2e/x"})
        void servesNothingElse(String path) throws Exception {
            assertThat(mApi.get(path).statusCode()).isEqualTo(404);
        }

        /** Guards against a page that operators with a token cannot open. */
        @Test
        void needsNoTokenButItsCallsDo() throws Exception {
            useToken();
            assertThat(mApi.get("/ops/").statusCode()).isEqualTo(200);
            assertThat(mApi.get(TABLE + "/cells").statusCode()).isEqualTo(401);
            assertThat(mApi.call("POST", TABLE + "/merge", "{}").statusCode()).isEqualTo(401);
            assertThat(mApi.get(TABLE + "/cells", "Authorization", "Bearer " + TOKEN).statusCode())
                    .isEqualTo(200);
        }
    }

    @Nested
    final class Editor {
        /** Guards against an operator who starts from other cells than those in force. */
        @Test
        void showsTheCellsInForce() throws Exception {
            JsonNode table = MAPPER.readTree(mApi.get(TABLE + "/cells").body());
            assertThat(table.path("version").asLong()).isEqualTo(1);
            assertThat(table.path("cells")).isEqualTo(MAPPER.readTree(ROWS.formatted(1)));
            mControl.dropTable();
            JsonNode none = MAPPER.readTree(mApi.get(TABLE + "/cells").body());
            assertThat(none.path("version").asLong()).isZero();
            assertThat(none.path("cells")).isEmpty();
        }

        /** Guards against a lost answer after which the page says that the save failed. */
        @Test
        void findsThatTheSavedTableIsInForce() throws Exception {
            mChecker.workersChanged(List.of());
            put(FakeControlPlane.CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5"), "\"1\"");
            JsonNode merged = merge(ROWS.formatted(1), ROWS.formatted(7));
            assertThat(merged.path("version").asLong()).isEqualTo(2);
            assertThat(merged.path("merge").path("outcome").asText()).isEqualTo("SAME");
        }

        /** Guards against another operator's save that the page does not show. */
        @Test
        void showsTheCellsThatBothChanged() throws Exception {
            mChecker.workersChanged(List.of());
            put(FakeControlPlane.CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5"), "\"1\"");
            JsonNode merge = merge(ROWS.formatted(1), ROWS.formatted(9)).path("merge");
            assertThat(merge.path("outcome").asText()).isEqualTo("CHANGED");
            assertThat(merge.path("differences"))
                    .isEqualTo(
                            MAPPER.readTree(
                                    "[{\"row\":1,\"column\":\"weight\",\"yours\":\"9\","
                                            + "\"stored\":\"7\",\"side\":\"OPEN\"}]"));
        }

        /** Guards against a block that is pasted in part because it is not readable. */
        @Test
        void refusesUnreadableBlocksAndTables() throws Exception {
            assertThat(mApi.call("POST", TABLE + "/paste", "a\tb\nc").body())
                    .isEqualTo("{\"cells\":[[\"a\",\"b\"],[\"c\"]]}");
            assertThat(mApi.call("POST", TABLE + "/paste", "\"a").statusCode()).isEqualTo(422);
            for (String edit : List.of("", "{}", "{\"base\":[],\"yours\":[[\"a\"]]}")) {
                assertThat(mApi.call("POST", TABLE + "/merge", edit).statusCode()).isEqualTo(400);
            }
        }

        private JsonNode merge(String base, String yours) throws Exception {
            String edit = "{\"base\":" + base + ",\"yours\":" + yours + "}";
            return MAPPER.readTree(mApi.call("POST", TABLE + "/merge", edit).body());
        }
    }

    @Nested
    final class Saves {
        /** Guards against a save that is reported as accepted without being in force. */
        @Test
        void areAcceptedWithTheNextVersion() throws Exception {
            mChecker.workersChanged(List.of());
            String csv = FakeControlPlane.CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5");
            HttpResponse<String> answer = put(csv, "\"1\"");
            assertThat(answer.statusCode()).isEqualTo(200);
            assertThat(header(answer, "ETag")).isEqualTo("\"2\"");
            assertThat(mApi.get(TABLE).body()).isEqualTo(csv);
        }

        /** Guards against a conflict that does not say what differs. */
        @Test
        void ofAnOlderVersionNameTheCellsThatDiffer() throws Exception {
            mChecker.workersChanged(List.of());
            put(FakeControlPlane.CSV.replace("mazowsze,1,,,5", "mazowsze,7,,,5"), "\"1\"");
            HttpResponse<String> answer = put(FakeControlPlane.CSV, "\"1\"");
            assertThat(answer.statusCode()).isEqualTo(412);
            assertThat(header(answer, "ETag")).isEqualTo("\"2\"");
            assertThat(MAPPER.readTree(answer.body()).path("problems"))
                    .singleElement()
                    .extracting(p -> p.path("row").asInt() + p.path("column").asText())
                    .isEqualTo("1weight");
        }

        /** Guards against problems that are told one at a time, or that change the table. */
        @Test
        void withMistakesNameAllOfThem() throws Exception {
            mChecker.workersChanged(List.of());
            String csv =
                    FakeControlPlane.CSV
                            .replace("mazowsze,1,,,5000", "mazowsze,0,x,,5000")
                            .replace("1,,,60000", "1,,2x8@rack,");
            String wrong = csv.replace(",0,x,", ",1,,");
            assertThat(mApi.call("POST", TABLE + "/check", csv).body())
                    .contains("\"row\":1,\"column\":\"weight\"", "\"row\":1,\"column\":\"limit\"");
            HttpResponse<String> answer = put(wrong, "\"1\"");
            assertThat(answer.statusCode()).isEqualTo(422);
            assertThat(answer.body()).contains("\"row\":2,\"column\":\"guarantee\"");
            assertThat(header(mApi.get(TABLE), "ETag")).isEqualTo("\"1\"");
            assertThat(mEvents.page(0, e -> true).events())
                    .extracting(e -> e.number())
                    .contains(EventCode.TABLE_SAVE_REFUSED.number());
        }

        /** Guards against "not saved" for a save whose outcome is not known, and the reverse. */
        @ParameterizedTest
        @CsvSource({"UNAVAILABLE,503", "UNSETTLED,504"})
        void tellUnavailableFromUnsettled(SaveTableResult.Status outcome, int status)
                throws Exception {
            mChecker.workersChanged(List.of());
            mControl.saveStatus = outcome;
            HttpResponse<String> answer = put(FakeControlPlane.CSV, "\"1\"");
            assertThat(answer.statusCode()).isEqualTo(status);
            assertThat(answer.body()).contains("\"" + outcome + "\"");
            assertThat(answer.headers().firstValue("ETag")).isEmpty();
        }

        /** Guards against tables that overwrite another one unseen, or are saved unchecked. */
        @Test
        void needVersionAndKnownWorkers() throws Exception {
            assertThat(put(FakeControlPlane.CSV, "\"1\"").statusCode()).isEqualTo(503);
            assertThat(mApi.call("POST", TABLE + "/check", "").statusCode()).isEqualTo(503);
            mChecker.workersChanged(List.of());
            assertThat(mApi.call("PUT", TABLE, FakeControlPlane.CSV).statusCode()).isEqualTo(428);
            assertThat(put(FakeControlPlane.CSV, "*").statusCode()).isEqualTo(400);
            assertThat(header(mApi.get(TABLE), "ETag")).isEqualTo("\"1\"");
        }
    }

    @Nested
    final class Reads {
        /** Guards against an interface that is open in spite of its token. */
        @ParameterizedTest
        @ValueSource(strings = {TABLE, "/ops/v1/status", "/ops/v1/events", "/metrics", "/x"})
        void needTheToken(String path) throws Exception {
            useToken();
            assertThat(mApi.get(path).statusCode()).isEqualTo(401);
            assertThat(mApi.get(path, "Authorization", "Bearer " + TOKEN + "0").statusCode())
                    .isEqualTo(401);
            assertThat(mApi.get(path, "Authorization", "Bearer " + TOKEN).statusCode())
                    .isEqualTo(path.equals("/x") ? 404 : 200);
        }

        /** Guards against pages of events that repeat or mix up events. */
        @Test
        void eventsAreFilteredAndContinued() throws Exception {
            mEvents.record(EventCode.JOB_ACCEPTED, "j-1", "", "montaz", "QUEUED");
            mEvents.record(EventCode.JOB_ACCEPTED, "j-2", "", "kluby", "QUEUED");
            JsonNode page = MAPPER.readTree(mApi.get("/ops/v1/events?team=kluby").body());
            assertThat(page.path("events"))
                    .singleElement()
                    .extracting(e -> e.path("job").asText())
                    .isEqualTo("j-2");
            String rest = "/ops/v1/events?after=" + page.path("next").asLong();
            assertThat(MAPPER.readTree(mApi.get(rest).body()).path("events")).isEmpty();
            assertThat(mApi.get("/ops/v1/events?after=now").statusCode()).isEqualTo(400);
        }

        /** Guards against an entry without a table that shows an empty one as saved. */
        @Test
        void tellThatNoTableIsInForce() throws Exception {
            mControl.dropTable();
            assertThat(mApi.get(TABLE).statusCode()).isEqualTo(404);
        }
    }

    private HttpResponse<String> put(String csv, String version) throws Exception {
        return mApi.call("PUT", TABLE, csv, "If-Match", version);
    }

    private void useToken() {
        mApi.close();
        mApi = serve(TOKEN);
    }

    private ServedApi serve(String token) {
        try {
            return new ServedApi(
                    new OperatorApi(
                            mControl, mEvents, new EntryMetrics(), () -> "{}", mChecker, token));
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private static String header(HttpResponse<String> answer, String name) {
        return answer.headers().firstValue(name).orElse("");
    }
}
