package org.lycheeroad.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.TargetInfo;

/** Feeds random events, also late, repeated and crossed ones, and checks every action. */
class RouterInvariantsTest {
    private static final int CONNECTIONS = 2;

    /** More than connections, so that the connection budget is what binds. */
    private static final int SLOTS = 16;

    private static final int MAX_QUEUED = 12;
    private static final long MAX_DEADLINE_MICROS = 400_000;
    private static final List<ClaimResult> CLAIM_RESULTS = List.of(ClaimResult.values());
    private static final List<AttemptOutcome> ATTEMPT_OUTCOMES = List.of(AttemptOutcome.values());
    private static final RegionId REGION = new RegionId("r0");

    /** Guards against two final actions, false outcomes, second runs and broken bounds. */
    @Property(tries = 200, seed = "4711")
    void actionsPreserveInvariants(@ForAll long seed) {
        EventDriver driver = new EventDriver(seed);
        for (int i = 0; i < 1_200; i++) {
            driver.sendRandomEvent();
        }
        driver.mNowMicros += MAX_DEADLINE_MICROS;
        driver.send(new RoutingEvent.Tick());
        // Not repeatable work whose caller has gone ends at its deadline at the latest.
        assertThat(driver.mOpenRequests).isEmpty();
        assertThat(driver.mRouter.openRequestCount()).isZero();
        assertThat(driver.mRouter.waitingRequestCount()).isZero();
        assertThat(driver.mRouter.requestCountByTarget()).isEmpty();
    }

    /** What a naive router would have to remember of a request. */
    private static final class RequestModel {
        final boolean mRepeatable;
        final long mDeadlineMicros;
        final Map<Integer, TargetId> mTargetByRunningAttempt = new HashMap<>();
        boolean mClaiming;
        boolean mClaimed;
        boolean mMayHaveRun;
        int mAttemptCount;

        RequestModel(boolean repeatable, long deadline) {
            mRepeatable = repeatable;
            mDeadlineMicros = deadline;
        }
    }

    private static final class EventDriver {
        final Random mRandom;
        final FairRequestRouter mRouter;
        final Map<RequestId, RequestModel> mOpenRequests = new HashMap<>();
        final Set<RequestId> mFinishedRequests = new HashSet<>();
        final Set<RequestId> mNotRunRequests = new HashSet<>();
        final Map<TargetId, TargetInfo> mTargets = new HashMap<>();
        final Set<TargetId> mDrainingTargets = new HashSet<>();
        long mNowMicros;
        int mRequestCount;

        EventDriver(long seed) {
            mRandom = new Random(seed);
            mRouter =
                    new FairRequestRouter(
                            new RouterSettings(
                                    new EntryId("e"),
                                    REGION,
                                    new FailureDomainId("d0"),
                                    2,
                                    600_000,
                                    MAX_QUEUED / 2,
                                    MAX_QUEUED),
                            seed);
        }

        void sendRandomEvent() {
            mNowMicros += mRandom.nextInt(8_000);
            int choice = mRandom.nextInt(100);
            if (choice < 30) {
                sendArrival();
            } else if (choice < 45) {
                sendClaimAnswer();
            } else if (choice < 80) {
                sendAttemptEnd();
            } else if (choice < 84) {
                send(new RoutingEvent.CallerDisconnected(randomRequest()));
            } else if (choice < 88) {
                sendTargets();
            } else if (choice < 91) {
                send(
                        new RoutingEvent.PeerLoadReported(
                                new EntryId("p"), Map.of(randomTarget(), mRandom.nextInt(4))));
            } else if (choice < 93) {
                send(
                        new RoutingEvent.ShareChanged(
                                randomTeam(), randomKind(), mRandom.nextInt(400)));
            } else if (choice == 93 && mRandom.nextInt(20) == 0) {
                send(new RoutingEvent.DrainStarted());
            } else {
                send(new RoutingEvent.Tick());
            }
        }

        private void sendArrival() {
            boolean duplicate = mRandom.nextInt(20) == 0 && !mOpenRequests.isEmpty();
            RequestId id = duplicate ? randomRequest() : new RequestId("q" + mRequestCount++);
            boolean repeatable = mRandom.nextBoolean();
            if (mFinishedRequests.contains(id)) {
                return;
            }
            long deadline = mNowMicros + 1 + mRandom.nextInt((int) MAX_DEADLINE_MICROS);
            mOpenRequests.putIfAbsent(id, new RequestModel(repeatable, deadline));
            send(
                    new RoutingEvent.RequestArrived(
                            id, randomTeam(), randomKind(), repeatable, deadline));
        }

        private void sendClaimAnswer() {
            RequestId id = randomRequest();
            ClaimResult result = CLAIM_RESULTS.get(Math.max(0, mRandom.nextInt(8) - 5));
            RequestModel seen = mOpenRequests.get(id);
            if (seen != null && seen.mClaiming) {
                seen.mClaiming = false;
                seen.mClaimed = result == ClaimResult.GRANTED;
                seen.mMayHaveRun |= result == ClaimResult.ALREADY_CLAIMED;
            }
            send(new RoutingEvent.ClaimAnswered(id, result));
        }

        private void sendAttemptEnd() {
            RequestId id = randomRequest();
            RequestModel seen = mOpenRequests.get(id);
            int attempt = 1 + mRandom.nextInt(seen == null ? 3 : seen.mAttemptCount + 1);
            AttemptOutcome outcome = ATTEMPT_OUTCOMES.get(mRandom.nextInt(ATTEMPT_OUTCOMES.size()));
            if (seen != null && seen.mTargetByRunningAttempt.containsKey(attempt)) {
                TargetId target = seen.mTargetByRunningAttempt.remove(attempt);
                seen.mMayHaveRun |=
                        outcome == AttemptOutcome.BROKEN
                                || outcome == AttemptOutcome.WHOLE
                                || outcome == AttemptOutcome.FAILED_WHOLE;
                if (outcome == AttemptOutcome.REFUSED_DRAINING) {
                    mDrainingTargets.add(target);
                }
            }
            send(new RoutingEvent.AttemptEnded(id, attempt, outcome));
            send(
                    new RoutingEvent.LinkBytesCounted(
                            id, attempt, mRandom.nextInt(60_000), 200, mRandom.nextBoolean()));
        }

        private void sendTargets() {
            mTargets.clear();
            for (int i = 0; i < 4; i++) {
                if (mRandom.nextInt(3) > 0) {
                    TargetInfo info = randomTargetInfo(i, mRandom.nextInt(4) == 0);
                    mTargets.put(info.id(), info);
                    mDrainingTargets.remove(info.id());
                }
            }
            send(new RoutingEvent.TargetsChanged(List.copyOf(mTargets.values())));
        }

        /** A new address stands for a new process, which is not draining any more. */
        private TargetInfo randomTargetInfo(int i, boolean leaving) {
            return new TargetInfo(
                    new TargetId("x" + i),
                    new RegionId("r" + i / 3),
                    new FailureDomainId("d" + i / 2),
                    new HostPort("127.0.0.1", 1 + mRandom.nextInt(60_000)),
                    SLOTS,
                    2 * CONNECTIONS,
                    leaving);
        }

        void send(RoutingEvent event) {
            for (RoutingAction action : mRouter.handle(event, mNowMicros)) {
                checkAction(action, event);
            }
            assertThat(mRouter.openRequestCount()).isEqualTo(mOpenRequests.size());
            assertThat(mRouter.waitingRequestCount())
                    .isLessThanOrEqualTo(MAX_QUEUED + 4 * CONNECTIONS);
        }

        private void checkAction(RoutingAction action, RoutingEvent event) {
            if (action instanceof RoutingAction.StartClaim a) {
                RequestModel seen = openRequest(a.request());
                assertThat(seen.mRepeatable || seen.mClaimed || seen.mClaiming).isFalse();
                seen.mClaiming = true;
            } else if (action instanceof RoutingAction.Dispatch a) {
                checkDispatch(a);
            } else if (action instanceof RoutingAction.AbortAttempt a) {
                assertThat(openRequest(a.request()).mTargetByRunningAttempt.remove(a.attempt()))
                        .isNotNull();
                openRequest(a.request()).mMayHaveRun = true;
            } else if (action instanceof RoutingAction.ReleaseClaim a) {
                RequestModel seen = mOpenRequests.get(a.request());
                assertThat(seen == null ? mNotRunRequests.contains(a.request()) : !seen.mMayHaveRun)
                        .isTrue();
            } else if (action instanceof RoutingAction.Reject a) {
                RequestModel seen = finishRequest(a.request());
                if (a.outcome() == RequestOutcome.NOT_RUN) {
                    mNotRunRequests.add(a.request());
                }
                assertThat(seen.mTargetByRunningAttempt).isEmpty();
                assertThat(a.outcome())
                        .isEqualTo(
                                seen.mMayHaveRun ? RequestOutcome.UNKNOWN : RequestOutcome.NOT_RUN);
            } else if (action instanceof RoutingAction.RequestFinished a) {
                finishRequest(a.request());
                assertThat(event).isInstanceOf(RoutingEvent.AttemptEnded.class);
                assertThat(((RoutingEvent.AttemptEnded) event).attempt()).isEqualTo(a.attempt());
            }
        }

        private void checkDispatch(RoutingAction.Dispatch dispatch) {
            RequestModel seen = openRequest(dispatch.request());
            assertThat(seen.mTargetByRunningAttempt).isEmpty();
            assertThat(seen.mRepeatable || (seen.mClaimed && !seen.mMayHaveRun)).isTrue();
            assertThat(mNowMicros).isLessThan(seen.mDeadlineMicros);
            assertThat(dispatch.attempt()).isEqualTo(++seen.mAttemptCount);
            assertThat(mTargets).containsKey(dispatch.target());
            assertThat(mTargets.get(dispatch.target()).draining()).isFalse();
            assertThat(mDrainingTargets).doesNotContain(dispatch.target());
            seen.mTargetByRunningAttempt.put(dispatch.attempt(), dispatch.target());
            long used =
                    mOpenRequests.values().stream()
                            .filter(s -> s.mTargetByRunningAttempt.containsValue(dispatch.target()))
                            .count();
            assertThat(used).isLessThanOrEqualTo(CONNECTIONS);
        }

        private RequestModel openRequest(RequestId id) {
            assertThat(mOpenRequests).containsKey(id);
            return mOpenRequests.get(id);
        }

        private RequestModel finishRequest(RequestId id) {
            RequestModel seen = openRequest(id);
            mOpenRequests.remove(id);
            assertThat(mFinishedRequests.add(id)).isTrue();
            return seen;
        }

        /** Mostly an open request, sometimes a finished or unknown one. */
        private RequestId randomRequest() {
            List<RequestId> ids = new ArrayList<>(mOpenRequests.keySet());
            ids.sort(null);
            if (ids.isEmpty() || mRandom.nextInt(10) == 0) {
                return new RequestId("q" + mRandom.nextInt(mRequestCount + 1));
            }
            return ids.get(mRandom.nextInt(ids.size()));
        }

        private TargetId randomTarget() {
            return new TargetId("x" + mRandom.nextInt(4));
        }

        private TeamId randomTeam() {
            return new TeamId("t" + mRandom.nextInt(3));
        }

        private KindId randomKind() {
            return new KindId("k" + mRandom.nextInt(2));
        }
    }
}
