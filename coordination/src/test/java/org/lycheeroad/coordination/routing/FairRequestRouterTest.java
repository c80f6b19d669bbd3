package org.lycheeroad.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.TargetInfo;

class FairRequestRouterTest {
    private static final RegionId REGION = new RegionId("r1");
    private static final FailureDomainId DOMAIN = new FailureDomainId("d1");
    private static final RequestId A = new RequestId("a");
    private static final RequestId B = new RequestId("b");
    private static final long DEADLINE_MICROS = 1_000_000;

    private final FairRequestRouter mRouter =
            new FairRequestRouter(new RouterSettings(new EntryId("e1"), REGION, DOMAIN, 8), 1);

    private static TargetInfo target(String id, boolean draining) {
        return new TargetInfo(
                new TargetId(id), REGION, DOMAIN, new HostPort("127.0.0.1", 1), 8, 8, draining);
    }

    private List<RoutingAction> setTargets(TargetInfo... targets) {
        return mRouter.handle(new RoutingEvent.TargetsChanged(List.of(targets)), 0);
    }

    private List<RoutingAction> sendRequest(RequestId id, boolean repeatable) {
        return mRouter.handle(
                new RoutingEvent.RequestArrived(
                        id, new TeamId("t"), new KindId("k"), repeatable, DEADLINE_MICROS),
                1);
    }

    private List<RoutingAction> endAttempt(RequestId id, int attempt, AttemptOutcome outcome) {
        return mRouter.handle(new RoutingEvent.AttemptEnded(id, attempt, outcome), 2);
    }

    private List<RoutingAction> answerClaim(RequestId id, ClaimResult result) {
        return mRouter.handle(new RoutingEvent.ClaimAnswered(id, result), 2);
    }

    private static RoutingAction reject(RequestId id, RequestOutcome outcome, String reason) {
        return new RoutingAction.Reject(id, outcome, reason);
    }

    private static RoutingAction dispatch(RequestId id, int attempt, String target) {
        return new RoutingAction.Dispatch(id, attempt, new TargetId(target));
    }

    @Nested
    class RepeatableRequest {
        /** Guards against not starting waiting requests when a connection is released. */
        @Test
        void waitsForConnection() {
            setTargets(target("x", false));
            assertThat(sendRequest(A, true)).containsExactly(dispatch(A, 1, "x"));
            assertThat(sendRequest(B, true)).isEmpty();
            assertThat(endAttempt(A, 1, AttemptOutcome.WHOLE))
                    .containsExactly(new RoutingAction.RequestFinished(A, 1), dispatch(B, 1, "x"));
        }

        /** Guards against reporting NOT_RUN although a broken attempt may have been executed. */
        @Test
        void isUnknownAtDeadlineAfterBrokenAttempt() {
            setTargets(target("x", false));
            sendRequest(A, true);
            assertThat(endAttempt(A, 1, AttemptOutcome.BROKEN))
                    .containsExactly(dispatch(A, 2, "x"));
            setTargets();
            endAttempt(A, 2, AttemptOutcome.NOT_SENT);
            assertThat(mRouter.handle(new RoutingEvent.Tick(), DEADLINE_MICROS))
                    .containsExactly(reject(A, RequestOutcome.UNKNOWN, "deadline"));
        }

        /** Guards against a late answer of an earlier attempt that ends the request. */
        @Test
        void ignoresAnswersOfOtherAttempts() {
            setTargets(target("x", false));
            sendRequest(A, true);
            endAttempt(A, 1, AttemptOutcome.BROKEN);
            assertThat(endAttempt(A, 1, AttemptOutcome.WHOLE)).isEmpty();
            assertThat(endAttempt(B, 1, AttemptOutcome.WHOLE)).isEmpty();
        }

        /**
         * Guards against sending requests to a draining target, and against reporting UNKNOWN then.
         */
        @Test
        void isNotSentToDrainingTarget() {
            setTargets(target("x", true));
            assertThat(sendRequest(A, true)).isEmpty();
            assertThat(mRouter.handle(new RoutingEvent.Tick(), DEADLINE_MICROS))
                    .containsExactly(reject(A, RequestOutcome.NOT_RUN, "deadline"));
        }
    }

    @Nested
    class DelayedRequest {
        /** Guards against queueing a request after its back-off although it has ended. */
        @Test
        void isNotRequeuedAfterItsEnd() {
            // Enough targets for the 20 retries of the initial retry budget.
            TargetInfo[] manyTargets = new TargetInfo[30];
            Arrays.setAll(manyTargets, n -> target("x" + n, false));
            setTargets(manyTargets);
            sendRequest(A, true);
            int attempt = 1;
            while (!endAttempt(A, attempt, AttemptOutcome.NOT_SENT).isEmpty()) {
                attempt++;
            }
            assertThat(attempt).isEqualTo(21);
            assertThat(mRouter.handle(new RoutingEvent.CallerDisconnected(A), 3))
                    .containsExactly(reject(A, RequestOutcome.NOT_RUN, "caller_gone"));
            // The longest back-off is 1.28 s.
            assertThat(mRouter.handle(new RoutingEvent.Tick(), 2 * DEADLINE_MICROS)).isEmpty();
        }
    }

    @Nested
    class RefusedRequest {
        private final TargetInfo[] mManyTargets = new TargetInfo[30];

        /** Guards against a back-off of requests that a free target could execute immediately. */
        @Test
        void isSentToNextTargetBeyondRetryBudget() {
            Arrays.setAll(mManyTargets, n -> target("x" + n, false));
            setTargets(mManyTargets);
            sendRequest(A, true);
            for (int attempt = 1; attempt < mManyTargets.length; attempt++) {
                assertThat(endAttempt(A, attempt, AttemptOutcome.REFUSED_NOT_RUN))
                        .hasSize(1)
                        .allMatch(RoutingAction.Dispatch.class::isInstance);
            }
        }

        /** Guards against sending requests to full targets in a loop. */
        @Test
        void isSentToEachTargetOncePerPause() {
            Arrays.setAll(mManyTargets, n -> target("x" + n, false));
            setTargets(mManyTargets);
            sendRequest(A, true);
            for (int attempt = 1; attempt < mManyTargets.length; attempt++) {
                endAttempt(A, attempt, AttemptOutcome.REFUSED_NOT_RUN);
            }
            assertThat(endAttempt(A, mManyTargets.length, AttemptOutcome.REFUSED_NOT_RUN))
                    .isEmpty();
            assertThat(mRouter.handle(new RoutingEvent.Tick(), 9_000)).isEmpty();
            assertThat(mRouter.handle(new RoutingEvent.Tick(), 11_000)).hasSize(1);
        }
    }

    @Nested
    class NonRepeatableRequest {
        /**
         * Guards against dispatching before the claim and against retrying after bytes were sent.
         */
        @Test
        void isClaimedFirstAndNeverRunsTwice() {
            setTargets(target("x", false));
            assertThat(sendRequest(A, false)).containsExactly(new RoutingAction.StartClaim(A));
            assertThat(answerClaim(A, ClaimResult.GRANTED)).containsExactly(dispatch(A, 1, "x"));
            assertThat(endAttempt(A, 1, AttemptOutcome.NOT_SENT))
                    .containsExactly(dispatch(A, 2, "x"));
            assertThat(endAttempt(A, 2, AttemptOutcome.BROKEN))
                    .contains(reject(A, RequestOutcome.UNKNOWN, "broken"));
        }

        /**
         * Guards against claims that outlive a request reported as NOT_RUN, so that its caller
         * cannot repeat it for a day.
         */
        @Test
        void releasesClaimIfNotRun() {
            setTargets(target("x", false));
            sendRequest(B, false);
            mRouter.handle(new RoutingEvent.CallerDisconnected(B), 1);
            assertThat(answerClaim(B, ClaimResult.GRANTED))
                    .containsExactly(new RoutingAction.ReleaseClaim(B));
            assertThat(answerClaim(B, ClaimResult.GRANTED)).isEmpty();
            sendRequest(A, false);
            answerClaim(A, ClaimResult.GRANTED);
            endAttempt(A, 1, AttemptOutcome.REFUSED_NOT_RUN);
            assertThat(mRouter.handle(new RoutingEvent.CallerDisconnected(A), 2))
                    .contains(
                            new RoutingAction.ReleaseClaim(A),
                            reject(A, RequestOutcome.NOT_RUN, "caller_gone"));
        }

        /** Guards against repeated execution after the claim was released too early. */
        @Test
        void keepsClaimIfItMayHaveRun() {
            setTargets(target("x", false));
            sendRequest(A, false);
            answerClaim(A, ClaimResult.GRANTED);
            assertThat(endAttempt(A, 1, AttemptOutcome.BROKEN))
                    .doesNotContain(new RoutingAction.ReleaseClaim(A));
        }

        /**
         * Starts and abandons claims, with pauses because requests of unknown service time count as
         * long and few of them may start per window.
         */
        private void abandonClaims(FairRequestRouter router, int claims) {
            router.handle(new RoutingEvent.TargetsChanged(List.of(target("x", false))), 0);
            for (int i = 0; i < claims; i++) {
                long nowMicros = 600_000L * i;
                RequestId id = new RequestId("n" + i);
                assertThat(
                                router.handle(
                                        bookingRequest(id, nowMicros + DEADLINE_MICROS), nowMicros))
                        .hasSize(1);
                router.handle(new RoutingEvent.CallerDisconnected(id), nowMicros);
            }
        }

        private RoutingEvent bookingRequest(RequestId id, long deadlineMicros) {
            return new RoutingEvent.RequestArrived(
                    id, new TeamId("t"), new KindId("book"), false, deadlineMicros);
        }

        /** Guards against a memory leak when the store never answers abandoned claims. */
        @Test
        void dropsClaimsThatAreNeverAnswered() {
            abandonClaims(mRouter, 10);
            assertThat(mRouter.abandonedClaimCount()).isEqualTo(10);
            mRouter.handle(new RoutingEvent.Tick(), 70_000_000);
            assertThat(mRouter.abandonedClaimCount()).isZero();
            assertThat(answerClaim(new RequestId("n0"), ClaimResult.GRANTED)).isEmpty();
        }

        /** Guards against memory use that grows with the rate of abandoned claims. */
        @Test
        void limitsNumberOfAbandonedClaims() {
            FairRequestRouter router =
                    new FairRequestRouter(
                            new RouterSettings(new EntryId("e1"), REGION, DOMAIN, 8, 0, 3, 3), 1);
            abandonClaims(router, 5);
            assertThat(router.abandonedClaimCount()).isEqualTo(3);
        }

        /** Guards against pending claims that block repeatable requests while the store is slow. */
        @Test
        void pendingClaimsLeaveConnectionsToOtherRequests() {
            TargetInfo targetWithManyConnections =
                    new TargetInfo(
                            new TargetId("x"),
                            REGION,
                            DOMAIN,
                            new HostPort("127.0.0.1", 1),
                            8,
                            64,
                            false);
            setTargets(targetWithManyConnections);
            for (int i = 0; i < 8; i++) {
                mRouter.handle(
                        bookingRequest(new RequestId("n" + i), 10 * DEADLINE_MICROS), 600_000L * i);
            }
            assertThat(mRouter.requestCountByTarget()).containsEntry(new TargetId("x"), 2);
            assertThat(
                            mRouter.handle(
                                    new RoutingEvent.RequestArrived(
                                            A,
                                            new TeamId("t"),
                                            new KindId("k"),
                                            true,
                                            10 * DEADLINE_MICROS),
                                    5_000_000))
                    .containsExactly(dispatch(A, 1, "x"));
        }

        /** Guards against wrong outcomes when a claim is not granted. */
        @Test
        void isRejectedIfClaimIsNotGranted() {
            setTargets(target("x", false));
            sendRequest(A, false);
            assertThat(answerClaim(A, ClaimResult.ALREADY_CLAIMED))
                    .containsExactly(reject(A, RequestOutcome.UNKNOWN, "already_claimed"));
            sendRequest(B, false);
            assertThat(answerClaim(B, ClaimResult.UNAVAILABLE))
                    .containsExactly(reject(B, RequestOutcome.NOT_RUN, "claim_unavailable"));
            assertThat(answerClaim(B, ClaimResult.GRANTED)).isEmpty();
        }
    }

    @Nested
    class RateLimitShare {
        /** Guards against exceeding the share, and against a token bucket that never refills. */
        @Test
        void waitsForTokenOfLimit() {
            setTargets(target("x", false), target("y", false));
            mRouter.handle(new RoutingEvent.ShareChanged(new TeamId("t"), new KindId("k"), 2), 0);
            assertThat(sendRequest(A, true)).hasSize(1);
            assertThat(sendRequest(B, true)).isEmpty();
            assertThat(mRouter.handle(new RoutingEvent.Tick(), 499_000)).isEmpty();
            assertThat(mRouter.handle(new RoutingEvent.Tick(), 502_000)).hasSize(1);
        }
    }

    @Nested
    class EarlyShedding {
        private static final long SECOND_MICROS = 1_000_000;
        private static final long TIME_LIMIT_MICROS = 20 * SECOND_MICROS;

        private final Map<RequestId, Long> mEndMicros = new HashMap<>();
        private final Map<RequestId, Long> mArrivalMicros = new HashMap<>();
        private final List<Long> mShedAfterMicros = new ArrayList<>();
        private int mAbortedCount;

        /**
         * Sends requests with a service time of 1 s to one target with 8 slots, of which long
         * requests may use 6.
         */
        private void run(int requestsPerSecond, long untilMicros) {
            for (long nowMicros = 0;
                    nowMicros < untilMicros + TIME_LIMIT_MICROS;
                    nowMicros += 5_000) {
                long stepMicros = nowMicros;
                mEndMicros.entrySet().stream()
                        .filter(e -> e.getValue() <= stepMicros)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList()
                        .forEach(
                                id -> {
                                    mEndMicros.remove(id);
                                    send(
                                            new RoutingEvent.AttemptEnded(
                                                    id, 1, AttemptOutcome.WHOLE),
                                            stepMicros);
                                });
                if (nowMicros < untilMicros
                        && nowMicros % (SECOND_MICROS / requestsPerSecond) == 0) {
                    RequestId id = new RequestId("q" + mArrivalMicros.size());
                    mArrivalMicros.put(id, nowMicros);
                    send(
                            new RoutingEvent.RequestArrived(
                                    id,
                                    new TeamId("t"),
                                    new KindId("k"),
                                    true,
                                    nowMicros + TIME_LIMIT_MICROS),
                            nowMicros);
                }
                send(new RoutingEvent.Tick(), nowMicros);
            }
        }

        private void send(RoutingEvent event, long nowMicros) {
            for (RoutingAction action : mRouter.handle(event, nowMicros)) {
                if (action instanceof RoutingAction.Dispatch a) {
                    mEndMicros.put(a.request(), nowMicros + SECOND_MICROS);
                } else if (action instanceof RoutingAction.AbortAttempt) {
                    mAbortedCount++;
                } else if (action instanceof RoutingAction.Reject a) {
                    mEndMicros.remove(a.request());
                    mShedAfterMicros.add(nowMicros - mArrivalMicros.get(a.request()));
                }
            }
        }

        /** Guards against starting requests that cannot be answered before their deadline. */
        @Test
        void startsNoRequestThatMissesItsDeadline() {
            setTargets(target("x", false));
            run(20, 60 * SECOND_MICROS);
            assertThat(mShedAfterMicros).isNotEmpty();
            assertThat(mAbortedCount).isZero();
        }

        /** Guards against rejecting requests only shortly before their deadline. */
        @Test
        void rejectsMostRequestsOnArrival() {
            setTargets(target("x", false));
            run(20, 60 * SECOND_MICROS);
            long rejectedOnArrival =
                    mShedAfterMicros.stream().filter(micros -> micros == 0).count();
            assertThat(rejectedOnArrival).isGreaterThan(mShedAfterMicros.size() / 2);
        }

        /** Guards against shedding requests that a free target would answer in time. */
        @Test
        void shedsNothingBelowCapacity() {
            setTargets(target("x", false));
            run(1, 60 * SECOND_MICROS);
            assertThat(mShedAfterMicros).isEmpty();
        }
    }

    @Nested
    class Draining {
        /** Guards against a shutdown that aborts accepted requests or accepts new ones. */
        @Test
        void finishesAcceptedAndRejectsNewRequests() {
            setTargets(target("x", false));
            sendRequest(A, true);
            mRouter.handle(new RoutingEvent.DrainStarted(), 1);
            assertThat(sendRequest(B, true))
                    .containsExactly(reject(B, RequestOutcome.NOT_RUN, "draining"));
            assertThat(endAttempt(A, 1, AttemptOutcome.WHOLE))
                    .containsExactly(new RoutingAction.RequestFinished(A, 1));
        }
    }
}
