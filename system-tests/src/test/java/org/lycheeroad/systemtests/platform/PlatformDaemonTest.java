package org.lycheeroad.systemtests.platform;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.systemtests.platform.SmallPlatform.await;
import static org.lycheeroad.systemtests.platform.SmallPlatform.id;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.standins.platform.PlatformStandIn;
import org.lycheeroad.standins.platform.StoreServer.Mode;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Whole daemons against the stand-in platform; each test names the failure it guards against. */
class PlatformDaemonTest {
    private static final String TASK = "{\"count\":1,\"cpu\":100,\"gpu\":1,\"estimate_ms\":100}";
    private static final String TASKS = "{\"count\":4,\"cpu\":100,\"gpu\":1,\"estimate_ms\":100}";
    private static final String GANG =
            "{\"count\":2,\"gpu\":8,\"estimate_ms\":100,\"gang\":true,\"rack_local\":true}";

    @Nested
    class Jobs {
        /** The path from the caller to the worker and back breaks at any joint. */
        @Test
        void jobIsAcceptedRunAndShownAsCompleted() throws Exception {
            try (SmallPlatform small = new SmallPlatform(2, 2)) {
                assertThat(small.submit(1, id(1), "ms=50", TASKS).status()).isEqualTo(200);
                assertThat(small.submit(0, id(2), "ms=50", GANG).status()).isEqualTo(200);
                small.awaitState(0, id(1), "completed");
                small.awaitState(1, id(2), "completed");
                assertThat(small.platform.recorder().startCount()).isEqualTo(6);
                assertThat(small.platform.recorder().violations()).isEmpty();
            }
        }

        /** A repeated submission through another VM must not run a second time. */
        @Test
        void repeatedSubmissionRemainsOneJob() throws Exception {
            try (SmallPlatform small = new SmallPlatform(2, 2)) {
                assertThat(small.submit(0, id(1), "ms=50", TASK).status()).isEqualTo(200);
                assertThat(small.submit(1, id(1), "ms=50", TASK).status()).isEqualTo(200);
                small.awaitState(0, id(1), "completed");
                assertThat(small.submit(0, id(1), "ms=50", TASK).status()).isEqualTo(200);
                SmallPlatform.pause(300);
                assertThat(small.platform.recorder().startCount()).isEqualTo(1);
            }
        }

        /** A cancelled job that goes on wastes its room. */
        @Test
        void cancelStopsWhatRuns() throws Exception {
            try (SmallPlatform small = new SmallPlatform(1, 2)) {
                small.submit(0, id(1), "ms=60000", TASK);
                await("job runs", () -> small.platform.recorder().startCount() == 1);
                assertThat(small.cancel(1, id(1)).status()).isEqualTo(200);
                small.awaitState(0, id(1), "cancelled");
                assertThat(small.submit(0, id(2), "ms=50", TASK).status()).isEqualTo(200);
                small.awaitState(1, id(2), "completed");
                assertThat(small.cancel(0, id(9)).status()).isEqualTo(410);
            }
        }

        /** Workers refuse starts without the ticket of the queue's placement policy. */
        @Test
        void jobOfAQueueWithAPolicyRunsWhereItIsAllowed() throws Exception {
            try (SmallPlatform small = new SmallPlatform(4, 1)) {
                String body = "{\"spec\":\"ms=50 ticketed\",\"phases\":[" + TASKS + "]}";
                assertThat(small.callAdvised(0, "POST", id(1), body).status()).isEqualTo(200);
                await(
                        "job is completed",
                        () -> small.callAdvised(0, "GET", id(1), "").text().contains("completed"));
                assertThat(small.platform.recorder().startCount()).isEqualTo(4);
                assertThat(small.platform.advice().callCount()).isEqualTo(1);
            }
        }

        /** Records that stay for good fill the store, and a restart reads them all. */
        @Test
        void recordsOfAnEndedJobAreRemovedOnceItNeedNotBeShown() throws Exception {
            try (SmallPlatform small = new SmallPlatform(1, 2, 1)) {
                assertThat(small.submit(0, id(1), "ms=50", TASK).status()).isEqualTo(200);
                small.awaitState(1, id(1), "completed");
                await("job is forgotten", () -> small.get(1, id(1)).status() == 410);
                assertThat(small.platform.store().keys("lycheeroad/")).noneMatch(k -> isOf(k, 1));
                assertThat(small.submit(1, id(2), "ms=50", TASK).status()).isEqualTo(200);
                small.awaitState(0, id(2), "completed");
            }
        }

        private static boolean isOf(String key, int job) {
            return key.contains(id(job));
        }

        /** Bad input must neither be accepted nor do harm. */
        @Test
        void badInputIsRefusedWithAReason() throws Exception {
            try (SmallPlatform small = new SmallPlatform(1, 1)) {
                BufferedHttpResponse answer =
                        small.call(0, "POST", id(1), PlatformStandIn.API_KEY, "{");
                assertThat(answer.status()).isEqualTo(400);
                assertThat(answer.text()).contains("JSON");
                assertThat(small.submit(0, id(1), "x", "{\"count\":0}").text()).contains("task");
                assertThat(small.submit(0, "no-id", "x", TASK).status()).isEqualTo(400);
                assertThat(small.get(0, id(1)).status()).isEqualTo(410);
                small.platform.store().write("servers/i-bad", "not JSON");
                small.platform.store().write("servers/i-odd", "{\"state\":\"dancing\"}");
                small.submit(0, id(2), "ms=50", TASK);
                small.awaitState(0, id(2), "completed");
            }
        }
    }

    @Nested
    class Configuration {
        /** A new key is refused, or an old one served, while the new version is not in force. */
        @Test
        void newVersionIsInForceEverywhere() throws Exception {
            try (SmallPlatform small = new SmallPlatform(1, 2)) {
                small.platform.writeConfig("key-2");
                assertThat(small.call(0, "GET", "", "key-2", "").status()).isEqualTo(200);
                assertThat(small.call(1, "GET", "", "key-2", "").status()).isEqualTo(200);
                await("old key is refused", () -> small.get(1, "").status() == 401);
            }
        }

        /** A call whose key no team ever held must not run. */
        @Test
        void unknownKeyIsRefused() throws Exception {
            try (SmallPlatform small = new SmallPlatform(1, 1)) {
                assertThat(small.call(0, "GET", "", "other", "").status()).isEqualTo(401);
            }
        }
    }

    @Nested
    class StoreFaults {
        /** Callers that wait for a store that is away lose their time. */
        @Test
        void callersAreRefusedAtOnceWhileTheStoreIsAway() throws Exception {
            try (SmallPlatform small = new SmallPlatform(1, 1)) {
                small.platform.store().setMode(Mode.BUSY);
                await(
                        "refusal at once",
                        () -> {
                            long begin = System.nanoTime();
                            BufferedHttpResponse answer = small.submit(0, id(1), "ms=50", TASK);
                            long tookMs = (System.nanoTime() - begin) / 1_000_000;
                            return answer.status() == 503
                                    && !answer.header("Retry-After").isEmpty()
                                    && tookMs < 100;
                        });
                small.platform.store().setMode(Mode.SERVING);
                await("served again", () -> small.submit(0, id(2), "ms=50", TASK).status() == 200);
                small.awaitState(0, id(2), "completed");
                assertThat(small.get(0, id(1)).status()).isEqualTo(410);
            }
        }

        /** Writes that were done without an answer must neither be lost nor run twice. */
        @Test
        void lostAnswersAreSettled() throws Exception {
            try (SmallPlatform small = new SmallPlatform(2, 2)) {
                small.platform.store().setMode(Mode.DROPPING_WRITE_RESPONSES);
                assertThat(small.submit(1, id(1), "ms=50", TASKS).status()).isIn(200, 504);
                small.platform.store().setMode(Mode.SERVING);
                assertThat(small.submit(0, id(1), "ms=50", TASKS).status()).isEqualTo(200);
                small.awaitState(0, id(1), "completed");
                assertThat(small.platform.recorder().startCount()).isEqualTo(4);
                assertThat(small.platform.recorder().violations()).isEmpty();
            }
        }

        /** Lost history must not hide jobs, and cut watches must not look like an outage. */
        @Test
        void jobsAreSeenAfterACompaction() throws Exception {
            try (SmallPlatform small = new SmallPlatform(1, 2)) {
                small.platform.store().compact();
                assertThat(small.submit(0, id(1), "ms=50", TASK).status()).isEqualTo(200);
                small.platform.store().compact();
                assertThat(small.submit(1, id(2), "ms=50", TASK).status()).isEqualTo(200);
                small.awaitState(0, id(1), "completed");
                small.awaitState(0, id(2), "completed");
            }
        }
    }

    @Nested
    class OwnerChange {
        /** A new owner that does not know what runs starts it a second time. */
        @Test
        void nextOwnerGoesOnWithoutASecondRun() throws Exception {
            try (SmallPlatform small = new SmallPlatform(2, 2)) {
                small.submit(0, id(1), "ms=4000", TASKS);
                await("job runs", () -> small.platform.recorder().startCount() == 4);
                small.daemons.get(0).stopNow();
                assertThat(small.submit(1, id(2), "ms=50", TASK).status()).isEqualTo(200);
                small.awaitState(1, id(2), "completed");
                small.awaitState(1, id(1), "completed");
                assertThat(small.platform.recorder().startCount()).isEqualTo(5);
                assertThat(small.platform.recorder().violations()).isEmpty();
            }
        }

        /**
         * Hunt on wentmont-sched, mix seed 919603474525: tasks of a dead worker never ran again.
         */
        @Test
        void tasksOfASilentWorkerRunElsewhere() throws Exception {
            try (SmallPlatform small = new SmallPlatform(2, 1)) {
                small.submit(0, id(1), "ms=3000", GANG.replace("\"count\":2", "\"count\":1"));
                await("job runs", () -> small.platform.recorder().startCount() == 1);
                small.platform.executors().forEach(e -> e.setUnresponsive(true));
                SmallPlatform.pause(500);
                small.platform.executors().get(1).setUnresponsive(false);
                small.awaitState(0, id(1), "completed");
                assertThat(small.platform.recorder().violations()).isEmpty();
            }
        }
    }
}
