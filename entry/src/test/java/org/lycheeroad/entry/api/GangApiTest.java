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

/** Tests the gang endpoints over HTTP with an in-memory control plane. */
final class GangApiTest {
    private static final String GANG_JSON =
            "{\"team\":\"montaz\",\"kind\":\"render\",\"region\":\"mazowsze\","
                    + "\"shape\":\"1x2@worker\",\"urgent\":false,\"declaredMs\":1000,"
                    + "\"payload\":\"p\",\"idempotencyKey\":\"k\"}";

    private final FakeControlPlane mControlPlane = new FakeControlPlane();
    private boolean mDraining;
    private final GangApi mGangApi =
            new GangApi(
                    mControlPlane,
                    new EventLog(new EntryId("e1"), new HybridClock(), 64),
                    () -> mDraining);
    private final ApiTestServer mServer = startServer();

    @AfterEach
    void stop() {
        mServer.close();
    }

    @Nested
    final class Accepts {
        /** Guards against reporting a job as accepted that the store does not contain. */
        @Test
        void gangsConfirmedByTheStore() throws Exception {
            GangStatus status = parseStatus(submit(GANG_JSON), 202);
            assertThat(status.state()).isEqualTo("QUEUED");
            assertThat(mControlPlane.jobs).hasSize(1);
            assertThat(parseStatus(mServer.get(GangApi.PATH_PREFIX + status.job()), 200))
                    .isEqualTo(status);
        }

        /** Guards against starting a second gang for a repeated submission. */
        @Test
        void repeatedSubmissionsOnce() throws Exception {
            GangStatus first = parseStatus(submit(GANG_JSON), 202);
            assertThat(parseStatus(submit(GANG_JSON), 202).job()).isEqualTo(first.job());
            assertThat(mControlPlane.jobs).hasSize(1);
            HttpResponse<String> conflicting = submit(GANG_JSON.replace("1x2@worker", "1x1@any"));
            assertThat(conflicting.statusCode()).isEqualTo(409);
            assertThat(conflicting.body()).contains("\"idempotencyKey\"");
            assertThat(mControlPlane.jobs).hasSize(1);
        }

        /** Guards against treating gangs without an idempotency key as the same job. */
        @Test
        void gangsWithoutKeyAsSeparateJobs() throws Exception {
            String gang = GANG_JSON.replace("\"k\"", "\"\"");
            assertThat(parseStatus(submit(gang), 202).job())
                    .isNotEqualTo(parseStatus(submit(gang), 202).job());
        }
    }

    @Nested
    final class Rejects {
        /**
         * Guards against storing an invalid gang, and against errors that do not name the field.
         */
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
        void invalidFieldsByName(String valid, String invalid, String field, int status)
                throws Exception {
            String text = invalid == null ? "" : invalid.equals("soon") ? "\"soon\"" : invalid;
            HttpResponse<String> response = submit(GANG_JSON.replace(valid, text));
            assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
            assertThat(response.body()).contains("\"field\":\"" + field + "\"");
            assertThat(mControlPlane.jobs).isEmpty();
        }

        /** Guards against large payloads, which every entry of the region would hold in memory. */
        @Test
        void payloadsThatAreTooLong() throws Exception {
            String gang = GANG_JSON.replace("\"p\"", "\"" + "p".repeat(8_193) + "\"");
            assertThat(submit(gang).body()).contains("\"field\":\"payload\"");
            assertThat(submit(gang.replace("pp\"", "p\"")).statusCode()).isEqualTo(202);
        }

        /** Guards against accepting work on an entry that is draining or has no table. */
        @Test
        void everythingWhileNotReady() throws Exception {
            mDraining = true;
            assertThat(parseStatus(submit(GANG_JSON), 503).state()).isEqualTo("NOT_RUN");
            mDraining = false;
            mControlPlane.clearTable();
            assertThat(parseStatus(submit(GANG_JSON), 503).state()).isEqualTo("NOT_RUN");
            assertThat(mControlPlane.jobs).isEmpty();
        }

        /** Guards against reporting "not run" for a job that the store may have created. */
        @ParameterizedTest
        @CsvSource({"NOT_STORED,503,NOT_RUN", "UNSETTLED,504,UNKNOWN"})
        void notStoredAndUnsettledWritesDifferently(
                CreateJobResult.Status createStatus, int status, String state) throws Exception {
            mControlPlane.createJobStatusOverride = createStatus;
            assertThat(parseStatus(submit(GANG_JSON), status).state()).isEqualTo(state);
        }

        /** Guards against inventing unknown jobs, and against ids that address other paths. */
        @Test
        void unknownJobs() throws Exception {
            assertThat(mServer.get(GangApi.PATH_PREFIX + "j-0").statusCode()).isEqualTo(404);
            assertThat(mServer.get(GangApi.PATH_PREFIX + "a%20b").statusCode()).isEqualTo(404);
            assertThat(mServer.call("DELETE", GangApi.PATH_PREFIX + "a%2Fb", "").statusCode())
                    .isEqualTo(404);
        }
    }

    @Nested
    final class Urgent {
        private final String mUrgentGangJson =
                GANG_JSON.replace("\"urgent\":false", "\"urgent\":true");

        /** Guards against urgent work that waits for an unavailable store. */
        @Test
        void goesToTheOwnerWithoutTheStore() throws Exception {
            mControlPlane.storeAvailable = false;
            mControlPlane.addListener(
                    new ControlListener() {
                        @Override
                        public void onUrgentSubmit(
                                JobSpec spec, CompletableFuture<JobRecord> response) {
                            response.complete(new JobRecord(spec, JobState.RUNNING, "", 3, ""));
                        }
                    });
            assertThat(parseStatus(submit(mUrgentGangJson), 202).state()).isEqualTo("RUNNING");
        }
    }

    @Nested
    final class Cancels {
        /** Guards against reporting a cancellation that the owner has not confirmed. */
        @Test
        void withTheOwnersResponseOrAsUnknown() throws Exception {
            String job = parseStatus(submit(GANG_JSON), 202).job();
            mControlPlane.addListener(
                    new ControlListener() {
                        @Override
                        public void onCancel(JobId id, CompletableFuture<JobRecord> response) {
                            JobRecord record = mControlPlane.jobs.get(id);
                            if (record == null) {
                                response.completeExceptionally(
                                        new IllegalStateException("owner did not answer"));
                            } else {
                                response.complete(
                                        new JobRecord(
                                                record.spec(), JobState.CANCELLED, "", 3, ""));
                            }
                        }
                    });
            assertThat(
                            parseStatus(mServer.call("DELETE", GangApi.PATH_PREFIX + job, ""), 200)
                                    .state())
                    .isEqualTo("CANCELLED");
            assertThat(
                            parseStatus(
                                            mServer.call("DELETE", GangApi.PATH_PREFIX + "j-0", ""),
                                            504)
                                    .state())
                    .isEqualTo("UNKNOWN");
        }
    }

    private HttpResponse<String> submit(String gang) throws Exception {
        return mServer.call("POST", "/v1/gangs", gang);
    }

    private static GangStatus parseStatus(HttpResponse<String> response, int status)
            throws Exception {
        assertThat(response.statusCode()).as(response.body()).isEqualTo(status);
        return Json.read(response.body(), GangStatus.class);
    }

    private ApiTestServer startServer() {
        try {
            return new ApiTestServer(this::route);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private void route(HttpCall call) {
        String job =
                call.path().substring(Math.min(call.path().length(), GangApi.PATH_PREFIX.length()));
        switch (call.method()) {
            case "POST" -> mGangApi.submit(call);
            case "GET" -> mGangApi.show(call, job);
            default -> mGangApi.cancel(call, job);
        }
    }
}
