package org.lycheeroad.entry.api;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.lycheeroad.entry.FakeControlPlane;
import org.lycheeroad.entry.control.ControlListener;
import org.lycheeroad.entry.control.CreateJobResult;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobRecord;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.http.HttpCall;

/** The callers' interface for gangs over HTTP, with a control plane in memory. */
final class GangApiTest {
    private static final String GANG =
            "{\"team\":\"montaz\",\"kind\":\"render\",\"region\":\"mazowsze\","
                    + "\"shape\":\"1x2@worker\",\"urgent\":false,\"declaredMs\":1000,"
                    + "\"payload\":\"p\",\"idempotencyKey\":\"k\"}";

    private final FakeControlPlane mControl = new FakeControlPlane();
    private boolean mDraining;
    private final GangApi mGangs =
            new GangApi(
                    mControl,
                    new EventLog(new EntryId("e1"), new HybridClock(), 64),
                    () -> mDraining);
    private final ServedApi mApi = serve();

    @AfterEach
    void stop() {
        mApi.close();
    }

    @Nested
    final class Accepts {
        /** Guards against a caller who is told "accepted" for a job that nobody has. */
        @Test
        void gangsThatTheStoreConfirmed() throws Exception {
            GangStatus status = status(submit(GANG), 202);
            assertThat(status.state()).isEqualTo("QUEUED");
            assertThat(mControl.jobs).hasSize(1);
            assertThat(status(mApi.get(GangApi.PATH + status.job()), 200)).isEqualTo(status);
        }

        /** Guards against a repeated submission that starts a second gang. */
        @Test
        void repeatedSubmissionsOnce() throws Exception {
            GangStatus first = status(submit(GANG), 202);
            assertThat(status(submit(GANG), 202).job()).isEqualTo(first.job());
            assertThat(mControl.jobs).hasSize(1);
            HttpResponse<String> other = submit(GANG.replace("1x2@worker", "1x1@any"));
            assertThat(other.statusCode()).isEqualTo(409);
            assertThat(other.body()).contains("\"idempotencyKey\"");
            assertThat(mControl.jobs).hasSize(1);
        }

        /** Guards against gangs without a key that are taken for one. */
        @Test
        void gangsWithoutKeyEachForItself() throws Exception {
            String gang = GANG.replace("\"k\"", "\"\"");
            assertThat(status(submit(gang), 202).job())
                    .isNotEqualTo(status(submit(gang), 202).job());
        }
    }

    @Nested
    final class Refuses {
        /** Guards against a mistake that is stored, or told without the name of its field. */
        @ParameterizedTest
        @CsvSource({
            "montaz,kluby,team,422",
            "montaz,mon taz,team,422",
            "mazowsze,malopolska,team,422",
            "1x2@worker,2by8,shape,422",
            "1000,-1,declaredMs,422",
            "1000,soon,declaredMs,400",
            "render,,kind,422"
        })
        void mistakesNameTheField(String right, String wrong, String field, int status)
                throws Exception {
            String text = wrong == null ? "" : wrong.equals("soon") ? "\"soon\"" : wrong;
            HttpResponse<String> answer = submit(GANG.replace(right, text));
            assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
            assertThat(answer.body()).contains("\"field\":\"" + field + "\"");
            assertThat(mControl.jobs).isEmpty();
        }

        /** Guards against a payload that fills the memory of all entries. */
        @Test
        void payloadsThatAreTooLong() throws Exception {
            String gang = GANG.replace("\"p\"", "\"" + "p".repeat(8_193) + "\"");
            assertThat(submit(gang).body()).contains("\"field\":\"payload\"");
            assertThat(submit(gang.replace("pp\"", "p\"")).statusCode()).isEqualTo(202);
        }

        /** Guards against work accepted by an entry that leaves or knows no table. */
        @Test
        void everythingWhileNotReady() throws Exception {
            mDraining = true;
            assertThat(status(submit(GANG), 503).state()).isEqualTo("NOT_RUN");
            mDraining = false;
            mControl.dropTable();
            assertThat(status(submit(GANG), 503).state()).isEqualTo("NOT_RUN");
            assertThat(mControl.jobs).isEmpty();
        }

        /** Guards against "not run" for a job whose creation the store may have carried out. */
        @ParameterizedTest
        @CsvSource({"NOT_STORED,503,NOT_RUN", "UNSETTLED,504,UNKNOWN"})
        void tellsNotStoredFromUnsettled(CreateJobResult.Status written, int status, String state)
                throws Exception {
            mControl.jobStatus = written;
            assertThat(status(submit(GANG), status).state()).isEqualTo(state);
        }

        /** Guards against made-up jobs, and against ids that reach into other paths. */
        @Test
        void unknownJobs() throws Exception {
            assertThat(mApi.get(GangApi.PATH + "j-0").statusCode()).isEqualTo(404);
            assertThat(mApi.get(GangApi.PATH + "a%20b").statusCode()).isEqualTo(404);
            assertThat(mApi.call("DELETE", GangApi.PATH + "a%2Fb", "").statusCode()).isEqualTo(404);
        }
    }

    @Nested
    final class Urgent {
        private final String mGang = GANG.replace("\"urgent\":false", "\"urgent\":true");

        /** Guards against urgent work that waits for a store that is down. */
        @Test
        void goesToTheOwnerWithoutTheStore() throws Exception {
            mControl.storeUp = false;
            mControl.addListener(
                    new ControlListener() {
                        @Override
                        public void onUrgentSubmit(
                                JobSpec spec, CompletableFuture<JobRecord> answer) {
                            answer.complete(new JobRecord(spec, JobState.RUNNING, "", 3, ""));
                        }
                    });
            assertThat(status(submit(mGang), 202).state()).isEqualTo("RUNNING");
        }
    }

    @Nested
    final class Cancels {
        /** Guards against a cancellation that is reported before the owner confirmed it. */
        @Test
        void withTheOwnersAnswerOrAsUnknown() throws Exception {
            String job = status(submit(GANG), 202).job();
            mControl.addListener(
                    new ControlListener() {
                        @Override
                        public void onCancel(JobId id, CompletableFuture<JobRecord> answer) {
                            JobRecord record = mControl.jobs.get(id);
                            if (record == null) {
                                answer.completeExceptionally(new IllegalStateException("silent"));
                            } else {
                                answer.complete(
                                        new JobRecord(
                                                record.spec(), JobState.CANCELLED, "", 3, ""));
                            }
                        }
                    });
            assertThat(status(mApi.call("DELETE", GangApi.PATH + job, ""), 200).state())
                    .isEqualTo("CANCELLED");
            assertThat(status(mApi.call("DELETE", GangApi.PATH + "j-0", ""), 504).state())
                    .isEqualTo("UNKNOWN");
        }
    }

    private HttpResponse<String> submit(String gang) throws Exception {
        return mApi.call("POST", "/v1/gangs", gang);
    }

    private static GangStatus status(HttpResponse<String> answer, int status) throws Exception {
        assertThat(answer.statusCode()).as(answer.body()).isEqualTo(status);
        return Json.read(answer.body(), GangStatus.class);
    }

    private ServedApi serve() {
        try {
            return new ServedApi(this::route);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void route(HttpCall call) {
        String job = call.path().substring(Math.min(call.path().length(), GangApi.PATH.length()));
        switch (call.method()) {
            case "POST" -> mGangs.submit(call);
            case "GET" -> mGangs.show(call, job);
            default -> mGangs.cancel(call, job);
        }
    }
}
