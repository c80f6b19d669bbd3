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

    private static TargetInfo target(String id, boolean leaving) {
        return new TargetInfo(
                new TargetId(id), REGION, DOMAIN, new HostPort("127.0.0.1", 1), 8, 8, leaving);
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
        /** Guards against waiting requests that never run after a connection was returned. */
        @Test
        void waitsForConnection() {
            setTargets(target("x", false));
            assertThat(sendRequest(A, true)).containsExactly(dispatch(A, 1, "x"));
            assertThat(sendRequest(B, true)).isEmpty();
            assertThat(endAttempt(A, 1, AttemptOutcome.WHOLE))
                    .containsExactly(new RoutingAction.RequestFinished(A, 1), dispatch(B, 1, "x"));
        }

        /** Guards against telling "not run" after a broken exchange. */
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

        /** Guards against an answer of an older attempt that ends the request. */
        @Test
        void ignoresAnswersOfOtherAttempts() {
            setTargets(target("x", false));
            sendRequest(A, true);
            endAttempt(A, 1, AttemptOutcome.BROKEN);
            assertThat(endAttempt(A, 1, AttemptOutcome.WHOLE)).isEmpty();
            assertThat(endAttempt(B, 1, AttemptOutcome.WHOLE)).isEmpty();
        }

        /** Guards against new work for a leaving target and against a false "unknown". */
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
        /** Guards against a request that is woken after its back-off although it has ended. */
        @Test
        void isNotRequeuedAfterItsEnd() {
            // Enough targets for the 20 retries that are saved at first.
            TargetInfo[] many = new TargetInfo[30];
            Arrays.setAll(many, n -> target("x" + n, false));
            setTargets(many);
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

        /** Guards against a back-off of work that a free target could run at once. */
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

        /** Guards against asking full targets without end. */
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
        /** Guards against a dispatch before the claim and a retry after bytes were sent. */
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

        /** Guards against a caller that is told "not run" and yet cannot repeat for a day. */
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

        /** Guards against a second run because the claim of work that may have run is gone. */
        @Test
        void keepsClaimIfItMayHaveRun() {
            setTargets(target("x", false));
            sendRequest(A, false);
            answerClaim(A, ClaimResult.GRANTED);
            assertThat(endAttempt(A, 1, AttemptOutcome.BROKEN))
                    .doesNotContain(new RoutingAction.ReleaseClaim(A));
        }

        /** Starts and abandons claims, slowly enough for unknown work, which counts as long. */
        private void abandonClaims(FairRequestRouter router, int claims) {
            router.handle(new RoutingEvent.TargetsChanged(List.of(target("x", false))), 0);
            for (int i = 0; i < claims; i++) {
                long now = 600_000L * i;
                RequestId id = new RequestId("n" + i);
                assertThat(router.handle(booking(id, now + DEADLINE_MICROS), now)).hasSize(1);
                router.handle(new RoutingEvent.CallerDisconnected(id), now);
            }
        }

        private RoutingEvent booking(RequestId id, long deadline) {
            return new RoutingEvent.RequestArrived(
                    id, new TeamId("t"), new KindId("book"), false, deadline);
        }

        /** Guards against memory that grows with each claim that a lost store never answers. */
        @Test
        void dropsClaimsThatAreNeverAnswered() {
            abandonClaims(mRouter, 10);
            assertThat(mRouter.abandonedClaimCount()).isEqualTo(10);
            mRouter.handle(new RoutingEvent.Tick(), 70_000_000);
            assertThat(mRouter.abandonedClaimCount()).isZero();
            assertThat(answerClaim(new RequestId("n0"), ClaimResult.GRANTED)).isEmpty();
        }

        /** Guards against memory that grows with the rate of abandoned claims. */
        @Test
        void limitsNumberOfAbandonedClaims() {
            FairRequestRouter router =
                    new FairRequestRouter(
                            new RouterSettings(new EntryId("e1"), REGION, DOMAIN, 8, 0, 3, 3), 1);
            abandonClaims(router, 5);
            assertThat(router.abandonedClaimCount()).isEqualTo(3);
        }

        /** Guards against a slow store that keeps repeatable work from the targets. */
        @Test
        void pendingClaimsLeaveConnectionsToOtherRequests() {
            TargetInfo wide =
                    new TargetInfo(
                            new TargetId("x"),
                            REGION,
                            DOMAIN,
                            new HostPort("127.0.0.1", 1),
                            8,
                            64,
                            false);
            setTargets(wide);
            for (int i = 0; i < 8; i++) {
                mRouter.handle(booking(new RequestId("n" + i), 10 * DEADLINE_MICROS), 600_000L * i);
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

        /** Guards against a wrong outcome when no claim was gained. */
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
        /** Guards against sending above the share and against a share that never refills. */
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

        /** Work of 1 s at one target with 8 slots, of which 6 are open to it once others wait. */
        private void run(int perSecond, long until) {
            for (long now = 0; now < until + TIME_LIMIT_MICROS; now += 5_000) {
                long at = now;
                mEndMicros.entrySet().stream()
                        .filter(e -> e.getValue() <= at)
                        .map(Map.Entry::getKey)
                        .sorted()
                        .toList()
                        .forEach(
                                id -> {
                                    mEndMicros.remove(id);
                                    send(
                                            new RoutingEvent.AttemptEnded(
                                                    id, 1, AttemptOutcome.WHOLE),
                                            at);
                                });
                if (now < until && now % (SECOND_MICROS / perSecond) == 0) {
                    RequestId id = new RequestId("q" + mArrivalMicros.size());
                    mArrivalMicros.put(id, now);
                    send(
                            new RoutingEvent.RequestArrived(
                                    id,
                                    new TeamId("t"),
                                    new KindId("k"),
                                    true,
                                    now + TIME_LIMIT_MICROS),
                            now);
                }
                send(new RoutingEvent.Tick(), now);
            }
        }

        private void send(RoutingEvent event, long now) {
            for (RoutingAction action : mRouter.handle(event, now)) {
                if (action instanceof RoutingAction.Dispatch a) {
                    mEndMicros.put(a.request(), now + SECOND_MICROS);
                } else if (action instanceof RoutingAction.AbortAttempt) {
                    mAbortedCount++;
                } else if (action instanceof RoutingAction.Reject a) {
                    mEndMicros.remove(a.request());
                    mShedAfterMicros.add(now - mArrivalMicros.get(a.request()));
                }
            }
        }

        /** Guards against work that is started although it cannot end before its deadline. */
        @Test
        void startsNoRequestThatMissesItsDeadline() {
            setTargets(target("x", false));
            run(20, 60 * SECOND_MICROS);
            assertThat(mShedAfterMicros).isNotEmpty();
            assertThat(mAbortedCount).isZero();
        }

        /** Guards against "not run" only when the time is nearly over. */
        @Test
        void rejectsMostRequestsOnArrival() {
            setTargets(target("x", false));
            run(20, 60 * SECOND_MICROS);
            long atOnce = mShedAfterMicros.stream().filter(micros -> micros == 0).count();
            assertThat(atOnce).isGreaterThan(mShedAfterMicros.size() / 2);
        }

        /** Guards against shedding work that a free target would answer in time. */
        @Test
        void shedsNothingBelowCapacity() {
            setTargets(target("x", false));
            run(1, 60 * SECOND_MICROS);
            assertThat(mShedAfterMicros).isEmpty();
        }
    }

    @Nested
    class Draining {
        /** Guards against a shutdown that interrupts accepted requests or takes new ones. */
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
