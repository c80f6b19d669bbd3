package org.lycheeroad.entry.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.worker.OrdersRequest;
import org.lycheeroad.protocol.worker.ReportVersion;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.task.Order;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.task.WorkerReport;

class WorkerSessionTest {
    private final WorkerSession mSession = new WorkerSession(null);

    /** Guards against leases for tasks that the core did not renew. */
    @Nested
    class Renewals {
        @Test
        void areCombinedWithTheShortestLease() {
            mSession.acceptReport(
                    report(1, 7, task("a", TaskState.RUNNING), task("b", TaskState.RUNNING)));
            Order stop = order(OrderKind.STOP, "c", 0);
            OrdersRequest request = buildRequest(renew("a", 6_000), stop, renew("b", 5_200));
            assertThat(request.renewAllMs()).isEqualTo(5_200);
            assertThat(request.known()).isEqualTo("1.7");
            assertThat(request.orders()).containsExactly(stop);
        }

        @Test
        void areNotCombinedUnlessAllRunningTasksAreRenewed() {
            mSession.acceptReport(
                    report(1, 7, task("a", TaskState.RUNNING), task("b", TaskState.RUNNING)));
            assertThat(buildRequest(renew("a", 6_000)).renewAllMs()).isZero();
            assertThat(buildRequest(renew("a", 6_000)).orders()).hasSize(1);
        }

        @Test
        void areSentIndividuallyAfterCombinedRenewalIsRejected() {
            mSession.acceptReport(report(1, 7, task("a", TaskState.RUNNING)));
            mSession.renewIndividually(List.of(renew("a", 6_000), order(OrderKind.STOP, "c", 0)));
            List<Order> batch = mSession.takeBatch();
            assertThat(batch).containsExactly(renew("a", 6_000));
            assertThat(buildRequest(renew("a", 6_000)).renewAllMs()).isZero();
            assertThat(buildRequest(renew("a", 6_000)).renewAllMs()).isEqualTo(6_000);
        }
    }

    /** Guards against redundant requests to a worker and against a worker that is not polled. */
    @Nested
    class LongPollRenewals {
        @BeforeEach
        void reportRunningTask() {
            mSession.acceptReport(report(1, 7, task("a", TaskState.RUNNING)));
        }

        @Test
        void replaceReportPollsUntilTheNextIsOverdue() {
            assertThat(buildRequest(renew("a", 6_000)).waitMs()).isPositive();
            mSession.beginRenewal();
            assertThat(mSession.beginPoll(0)).isFalse();
            mSession.endRenewal(true, 1_700);
            assertThat(mSession.beginPoll(2_100)).isFalse();
            assertThat(mSession.beginPoll(2_300)).isTrue();
        }

        @Test
        void doNotBlockOrdersOrTheNextRenewal() {
            mSession.addOrder(renew("a", 6_000), 9);
            assertThat(buildRequest(mSession.takeBatch().get(0)).waitMs()).isPositive();
            mSession.beginRenewal();
            mSession.addOrder(order(OrderKind.STOP, "a", 0), 9);
            assertThat(mSession.takeBatch()).hasSize(1);
            assertThat(buildRequest(renew("a", 6_000)).waitMs()).isZero();
            assertThat(buildRequest(renew("a", 6_000)).renewAllMs()).isEqualTo(6_000);
        }

        @Test
        void areDisabledUntilRestartForUnsupportingWorker() {
            mSession.disableRenewalLongPoll();
            assertThat(buildRequest(renew("a", 6_000)).waitMs()).isZero();
            mSession.acceptReport(report(2, 1, task("a", TaskState.RUNNING)));
            assertThat(buildRequest(renew("a", 6_000)).waitMs()).isPositive();
        }

        @Test
        void areFollowedByImmediateReportPollAfterFailure() {
            mSession.beginRenewal();
            mSession.endRenewal(false, 1_700);
            mSession.onReportFailed();
            assertThat(mSession.beginPoll(1_700)).isTrue();
            assertThat(mSession.takeReportWaitMs()).isZero();
            assertThat(mSession.takeReportWaitMs()).isPositive();
        }
    }

    /** Guards against applying an "unchanged" response to a different report version. */
    @Nested
    class ReportVersions {
        @Test
        void unchangedVersionDoesNotConfirmLaterReport() {
            mSession.acceptReport(report(1, 7));
            Optional<ReportVersion> requestedVersion = mSession.knownVersion();
            assertThat(mSession.reportIfVersion(requestedVersion)).isPresent();
            mSession.acceptReport(report(1, 8));
            assertThat(mSession.reportIfVersion(requestedVersion)).isEmpty();
        }

        @Test
        void olderReportsAreRejected() {
            mSession.acceptReport(report(2, 3));
            assertThat(mSession.acceptReport(report(2, 2))).isFalse();
            assertThat(mSession.acceptReport(report(1, 9))).isFalse();
            assertThat(mSession.acceptReport(report(3, 1))).isTrue();
        }

        @Test
        void resetRequestsFullReport() {
            mSession.acceptReport(report(1, 7));
            mSession.reset();
            assertThat(mSession.knownVersion()).isEmpty();
            assertThat(mSession.reportIfVersion(Optional.empty())).isEmpty();
        }
    }

    private OrdersRequest buildRequest(Order... orders) {
        return mSession.buildRequest(new EntryId("e"), 1, List.of(orders));
    }

    private static Order renew(String job, long leaseMs) {
        return order(OrderKind.RENEW, job, leaseMs);
    }

    private static Order order(OrderKind kind, String job, long leaseMs) {
        return new Order(kind, new JobId(job), 0, 1, List.of(0), null, leaseMs);
    }

    private static TaskReport task(String job, TaskState state) {
        return new TaskReport(new JobId(job), 0, 1, state, List.of(0), null, 0);
    }

    private static WorkerReport report(long incarnation, long sequence, TaskReport... tasks) {
        return new WorkerReport(new WorkerId("w"), incarnation, sequence, 1, List.of(tasks));
    }
}
