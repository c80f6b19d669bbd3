package org.lycheeroad.systemtests.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.systemtests.platform.PlatformFixture.await;
import static org.lycheeroad.systemtests.platform.PlatformFixture.jobId;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.platform.PlatformStandIn;
import org.lycheeroad.standins.platform.StoreServer.Mode;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Tests complete daemons against the stand-in platform. */
class PlatformDaemonTest {
    private static final String ONE_TASK_PHASE =
            "{\"count\":1,\"cpu\":100,\"gpu\":1,\"estimate_ms\":100}";
    private static final String FOUR_TASK_PHASE =
            "{\"count\":4,\"cpu\":100,\"gpu\":1,\"estimate_ms\":100}";
    private static final String GANG_PHASE =
            "{\"count\":2,\"gpu\":8,\"estimate_ms\":100,\"gang\":true,\"rack_local\":true}";

    @Nested
    class Jobs {
        /** Guards against failures anywhere on the path from the caller to the worker and back. */
        @Test
        void jobIsAcceptedRunAndShownAsCompleted() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(2, 2)) {
                assertThat(fixture.submit(1, jobId(1), "ms=50", FOUR_TASK_PHASE).status())
                        .isEqualTo(200);
                assertThat(fixture.submit(0, jobId(2), "ms=50", GANG_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(0, jobId(1), "completed");
                fixture.awaitState(1, jobId(2), "completed");
                assertThat(fixture.platform.recorder().startCount()).isEqualTo(6);
                assertThat(fixture.platform.recorder().violations()).isEmpty();
            }
        }

        /** Guards against a second run after the same submission is repeated through another VM. */
        @Test
        void repeatedSubmissionRemainsOneJob() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(2, 2)) {
                assertThat(fixture.submit(0, jobId(1), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                assertThat(fixture.submit(1, jobId(1), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(0, jobId(1), "completed");
                assertThat(fixture.submit(0, jobId(1), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                PlatformFixture.pause(300);
                assertThat(fixture.platform.recorder().startCount()).isEqualTo(1);
            }
        }

        /** Guards against cancelled jobs that keep running and occupy their workers. */
        @Test
        void cancelStopsRunningTasks() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(1, 2)) {
                fixture.submit(0, jobId(1), "ms=60000", ONE_TASK_PHASE);
                await("the job runs", () -> fixture.platform.recorder().startCount() == 1);
                assertThat(fixture.cancel(1, jobId(1)).status()).isEqualTo(200);
                fixture.awaitState(0, jobId(1), "cancelled");
                assertThat(fixture.submit(0, jobId(2), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(1, jobId(2), "completed");
                assertThat(fixture.cancel(0, jobId(9)).status()).isEqualTo(410);
            }
        }

        /**
         * Guards against task starts without the ticket of the queue's placement policy, which
         * workers reject.
         */
        @Test
        void jobOfAQueueWithAPlacementPolicyRunsOnAllowedWorkers() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(4, 1)) {
                String body = "{\"spec\":\"ms=50 ticketed\",\"phases\":[" + FOUR_TASK_PHASE + "]}";
                assertThat(fixture.callQueueWithPlacementPolicy(0, "POST", jobId(1), body).status())
                        .isEqualTo(200);
                await(
                        "the job is completed",
                        () ->
                                fixture.callQueueWithPlacementPolicy(0, "GET", jobId(1), "")
                                        .text()
                                        .contains("completed"));
                assertThat(fixture.platform.recorder().startCount()).isEqualTo(4);
                assertThat(fixture.platform.advice().callCount()).isEqualTo(1);
            }
        }

        /**
         * Guards against records that are never removed: they fill the store and every restart
         * reads all of them.
         */
        @Test
        void recordsOfAnEndedJobAreRemovedAfterStatusRetention() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(1, 2, 1)) {
                assertThat(fixture.submit(0, jobId(1), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(1, jobId(1), "completed");
                await(
                        "the records of the job are removed",
                        () -> fixture.get(1, jobId(1)).status() == 410);
                assertThat(fixture.platform.store().keys("lycheeroad/"))
                        .noneMatch(k -> belongsToJob(k, 1));
                assertThat(fixture.submit(1, jobId(2), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(0, jobId(2), "completed");
            }
        }

        private static boolean belongsToJob(String key, int job) {
            return key.contains(jobId(job));
        }

        /** Guards against invalid input that is accepted or that affects other jobs. */
        @Test
        void invalidInputIsRejectedWithAReason() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(1, 1)) {
                BufferedHttpResponse response =
                        fixture.call(0, "POST", jobId(1), PlatformStandIn.API_KEY, "{");
                assertThat(response.status()).isEqualTo(400);
                assertThat(response.text()).contains("JSON");
                assertThat(fixture.submit(0, jobId(1), "x", "{\"count\":0}").text())
                        .contains("task");
                assertThat(fixture.submit(0, "no-id", "x", ONE_TASK_PHASE).status()).isEqualTo(400);
                assertThat(fixture.get(0, jobId(1)).status()).isEqualTo(410);
                fixture.platform.store().write("servers/i-bad", "not JSON");
                fixture.platform.store().write("servers/i-odd", "{\"state\":\"dancing\"}");
                fixture.submit(0, jobId(2), "ms=50", ONE_TASK_PHASE);
                fixture.awaitState(0, jobId(2), "completed");
            }
        }
    }

    @Nested
    class Configuration {
        /** Guards against VMs that reject the new API key or keep accepting the old one. */
        @Test
        void newVersionTakesEffectOnAllVms() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(1, 2)) {
                fixture.platform.writeConfig("key-2");
                assertThat(fixture.call(0, "GET", "", "key-2", "").status()).isEqualTo(200);
                assertThat(fixture.call(1, "GET", "", "key-2", "").status()).isEqualTo(200);
                await("the old key is rejected", () -> fixture.get(1, "").status() == 401);
            }
        }

        /** Guards against calls that are accepted with a key that no team has held. */
        @Test
        void unknownKeyIsRejected() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(1, 1)) {
                assertThat(fixture.call(0, "GET", "", "other", "").status()).isEqualTo(401);
            }
        }
    }

    @Nested
    class StoreFaults {
        /** Guards against callers that wait while the store is unavailable. */
        @Test
        void callersAreRejectedImmediatelyWhileTheStoreIsUnavailable() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(1, 1)) {
                fixture.platform.store().setMode(Mode.BUSY);
                await(
                        "submissions are rejected within 100 ms",
                        () -> {
                            long startNanos = System.nanoTime();
                            BufferedHttpResponse response =
                                    fixture.submit(0, jobId(1), "ms=50", ONE_TASK_PHASE);
                            long tookMs = (System.nanoTime() - startNanos) / 1_000_000;
                            return response.status() == 503
                                    && !response.header("Retry-After").isEmpty()
                                    && tookMs < 100;
                        });
                fixture.platform.store().setMode(Mode.SERVING);
                await(
                        "submissions are accepted again",
                        () -> fixture.submit(0, jobId(2), "ms=50", ONE_TASK_PHASE).status() == 200);
                fixture.awaitState(0, jobId(2), "completed");
                assertThat(fixture.get(0, jobId(1)).status()).isEqualTo(410);
            }
        }

        /** Guards against jobs that are lost or run twice when the store drops write responses. */
        @Test
        void writesWithLostResponsesAreNeitherLostNorRepeated() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(2, 2)) {
                fixture.platform.store().setMode(Mode.DROPPING_WRITE_RESPONSES);
                assertThat(fixture.submit(1, jobId(1), "ms=50", FOUR_TASK_PHASE).status())
                        .isIn(200, 504);
                fixture.platform.store().setMode(Mode.SERVING);
                assertThat(fixture.submit(0, jobId(1), "ms=50", FOUR_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(0, jobId(1), "completed");
                assertThat(fixture.platform.recorder().startCount()).isEqualTo(4);
                assertThat(fixture.platform.recorder().violations()).isEmpty();
            }
        }

        /**
         * Guards against compactions that hide jobs, and against closed watches that are taken for
         * an outage.
         */
        @Test
        void jobsRemainVisibleAfterACompaction() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(1, 2)) {
                fixture.platform.store().compact();
                assertThat(fixture.submit(0, jobId(1), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.platform.store().compact();
                assertThat(fixture.submit(1, jobId(2), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(0, jobId(1), "completed");
                fixture.awaitState(0, jobId(2), "completed");
            }
        }
    }

    @Nested
    class OwnerChange {
        /** Guards against a new owner that starts tasks again because it does not know they run. */
        @Test
        void newOwnerContinuesRunningTasksWithoutRerun() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(2, 2)) {
                fixture.submit(0, jobId(1), "ms=4000", FOUR_TASK_PHASE);
                await("the job runs", () -> fixture.platform.recorder().startCount() == 4);
                fixture.daemons.get(0).stopNow();
                assertThat(fixture.submit(1, jobId(2), "ms=50", ONE_TASK_PHASE).status())
                        .isEqualTo(200);
                fixture.awaitState(1, jobId(2), "completed");
                fixture.awaitState(1, jobId(1), "completed");
                assertThat(fixture.platform.recorder().startCount()).isEqualTo(5);
                assertThat(fixture.platform.recorder().violations()).isEmpty();
            }
        }

        /**
         * Guards against tasks of a dead worker that never run again. Found by a randomized test
         * run on wentmont-sched, mix seed 919603474525.
         */
        @Test
        void tasksOfAnUnresponsiveWorkerRunOnAnother() throws Exception {
            try (PlatformFixture fixture = new PlatformFixture(2, 1)) {
                fixture.submit(
                        0, jobId(1), "ms=3000", GANG_PHASE.replace("\"count\":2", "\"count\":1"));
                await("the job runs", () -> fixture.platform.recorder().startCount() == 1);
                fixture.platform.executors().forEach(e -> e.setUnresponsive(true));
                PlatformFixture.pause(500);
                fixture.platform.executors().get(1).setUnresponsive(false);
                fixture.awaitState(0, jobId(1), "completed");
                assertThat(fixture.platform.recorder().violations()).isEmpty();
            }
        }
    }
}
