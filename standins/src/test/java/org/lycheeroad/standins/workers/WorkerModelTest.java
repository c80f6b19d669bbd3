package org.lycheeroad.standins.workers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskState;

/**
 * Tests the worker's rules for fencing tokens, for confirmation before the start, and for leases.
 */
class WorkerModelTest {
    private final TaskRunLog mRunLog = new TaskRunLog();
    private final WorkerModel mWorker =
            new WorkerModel(new WorkerId("w"), 8, mRunLog, new HashMap<>());

    @Test
    void outdatedTokenAndSecondOwnerOfSameTokenAreRejected() {
        assertThat(mWorker.acceptToken(requestFrom("e1", 5))).isTrue();
        assertThat(mWorker.acceptToken(requestFrom("e1", 5))).isTrue();
        assertThat(mWorker.acceptToken(requestFrom("e2", 4))).isFalse();
        assertThat(mWorker.acceptToken(requestFrom("e2", 5))).isFalse();
        assertThat(mWorker.acceptToken(requestFrom("e2", 6))).isTrue();
        assertThat(mWorker.acceptToken(requestFrom("e1", 5))).isFalse();
    }

    @Test
    void startRequiresConfirmationWithUnexpiredLease() {
        assertThat(applyOrder(OrderKind.RESERVE, 0)).isTrue();
        assertThat(applyOrder(OrderKind.START, 1)).isFalse();
        assertThat(applyOrder(OrderKind.CONFIRM, 2)).isTrue();
        assertThat(applyOrder(OrderKind.START, 3_002)).isFalse();
        assertThat(taskState(3_002)).isEqualTo(TaskState.LAPSED);
        assertThat(mRunLog.all()).isEmpty();
    }

    @Test
    void taskLapsesWhenItsLeaseExpires() {
        applyOrder(OrderKind.RESERVE, 0);
        applyOrder(OrderKind.CONFIRM, 0);
        applyOrder(OrderKind.START, 0);
        applyOrder(OrderKind.RENEW, 2_000);
        assertThat(taskState(4_999)).isEqualTo(TaskState.RUNNING);
        assertThat(taskState(5_000)).isEqualTo(TaskState.LAPSED);
        assertThat(mRunLog.all()).singleElement().matches(r -> r.ended().equals("LAPSED"));
    }

    @Test
    void stoppedAttemptCannotBeReservedAgain() {
        applyOrder(OrderKind.RESERVE, 0);
        applyOrder(OrderKind.STOP, 1);
        assertThat(applyOrder(OrderKind.RESERVE, 2)).isFalse();
    }

    /**
     * Guards against sending a full report after every renewal, and against renewing tasks that the
     * sender does not know of.
     */
    @Nested
    class ReportVersions {
        @Test
        void renewalsAndRepeatedOrdersKeepTheVersion() {
            startTaskAt(0);
            ReportVersion version = mWorker.reportVersion();
            assertThat(applyOrder(OrderKind.RENEW, 10)).isTrue();
            assertThat(applyOrder(OrderKind.START, 20)).isTrue();
            assertThat(mWorker.renewAllIfUnchanged(version.toString(), 3_000, 30)).isTrue();
            assertThat(mWorker.reportVersion()).isEqualTo(version);
        }

        @Test
        void everyStateChangeHasANewVersion() {
            Set<ReportVersion> versions = new HashSet<>();
            for (OrderKind kind : List.of(OrderKind.RESERVE, OrderKind.CONFIRM, OrderKind.START)) {
                applyOrder(kind, 0);
                versions.add(mWorker.reportVersion());
            }
            applyOrder(OrderKind.STOP, 1);
            versions.add(mWorker.reportVersion());
            applyOrder(OrderKind.ACK, 1);
            versions.add(mWorker.reportVersion());
            assertThat(versions).hasSize(5);
        }

        @Test
        void renewsAllTasksOnlyWhenTheVersionMatches() {
            startTaskAt(0);
            String version = mWorker.reportVersion().toString();
            assertThat(mWorker.renewAllIfUnchanged(version, 6_000, 2_000)).isTrue();
            assertThat(taskState(7_999)).isEqualTo(TaskState.RUNNING);
            assertThat(mWorker.renewAllIfUnchanged("1.1", 6_000, 7_000)).isFalse();
            assertThat(mWorker.renewAllIfUnchanged(version, 6_000, 8_000)).isFalse();
            assertThat(taskState(8_000)).isEqualTo(TaskState.LAPSED);
        }

        @Test
        void versionFromBeforeARestartNeverMatches() {
            Set<ReportVersion> versionsBeforeRestart = new HashSet<>();
            versionsBeforeRestart.add(mWorker.reportVersion());
            startTaskAt(0);
            versionsBeforeRestart.add(mWorker.reportVersion());
            mWorker.setFault("restart", 1);
            assertThat(versionsBeforeRestart).doesNotContain(mWorker.reportVersion());
            startTaskAt(2);
            assertThat(versionsBeforeRestart).doesNotContain(mWorker.reportVersion());
        }

        private void startTaskAt(long nowMs) {
            applyOrder(OrderKind.RESERVE, nowMs);
            applyOrder(OrderKind.CONFIRM, nowMs);
            applyOrder(OrderKind.START, nowMs);
        }
    }

    private boolean applyOrder(OrderKind kind, long nowMs) {
        JobSpec spec =
                new JobSpec(
                        new JobId("j"),
                        new TeamId("t"),
                        new KindId("k"),
                        new RegionId("r"),
                        Shape.parse("1x2@worker"),
                        false,
                        1,
                        "run-ms=60000");
        Order order = new Order(kind, spec.id(), 0, 1, List.of(0, 1), spec, 3_000);
        return mWorker.applyOrder(order, nowMs).accepted();
    }

    private TaskState taskState(long nowMs) {
        return mWorker.report(nowMs).tasks().get(0).state();
    }

    private static OrdersRequest requestFrom(String owner, long token) {
        return new OrdersRequest(new EntryId(owner), token, List.of(), null, 0, 0);
    }
}
