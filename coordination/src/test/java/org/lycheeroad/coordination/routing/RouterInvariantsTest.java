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

/** Sends random events, also late, repeated and reordered ones, and checks every action. */
class RouterInvariantsTest {
    private static final int CONNECTIONS = 2;

    /** More than the connections, so that the connections are the limiting resource. */
    private static final int SLOTS = 16;

    private static final int MAX_QUEUED = 12;
    private static final long MAX_DEADLINE_MICROS = 400_000;
    private static final List<ClaimResult> CLAIM_RESULTS = List.of(ClaimResult.values());
    private static final List<AttemptOutcome> ATTEMPT_OUTCOMES = List.of(AttemptOutcome.values());
    private static final RegionId REGION = new RegionId("r0");

    /**
     * Guards against repeated final actions, wrong outcomes, repeated execution of non-repeatable
     * requests and exceeded limits.
     */
    @Property(tries = 200, seed = "4711")
    void actionsPreserveInvariants(@ForAll long seed) {
        EventDriver driver = new EventDriver(seed);
        for (int i = 0; i < 1_200; i++) {
            driver.sendRandomEvent();
        }
        driver.mNowMicros += MAX_DEADLINE_MICROS;
        driver.send(new RoutingEvent.Tick());
        // Even non-repeatable requests of disconnected callers end at their deadline.
        assertThat(driver.mOpenRequests).isEmpty();
        assertThat(driver.mRouter.openRequestCount()).isZero();
        assertThat(driver.mRouter.waitingRequestCount()).isZero();
        assertThat(driver.mRouter.requestCountByTarget()).isEmpty();
    }

    /** The expected state of a request. */
    private static final class RequestModel {
        final boolean mRepeatable;
        final long mDeadlineMicros;
        final Map<Integer, TargetId> mTargetByRunningAttempt = new HashMap<>();
        boolean mClaiming;
        boolean mClaimed;
        boolean mMayHaveRun;
        int mAttemptCount;

        RequestModel(boolean repeatable, long deadlineMicros) {
            mRepeatable = repeatable;
            mDeadlineMicros = deadlineMicros;
        }
    }

    /** Sends events to a router and checks its actions against the expected state. */
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
            long deadlineMicros = mNowMicros + 1 + mRandom.nextInt((int) MAX_DEADLINE_MICROS);
            mOpenRequests.putIfAbsent(id, new RequestModel(repeatable, deadlineMicros));
            send(
                    new RoutingEvent.RequestArrived(
                            id, randomTeam(), randomKind(), repeatable, deadlineMicros));
        }

        private void sendClaimAnswer() {
            RequestId id = randomRequest();
            ClaimResult result = CLAIM_RESULTS.get(Math.max(0, mRandom.nextInt(8) - 5));
            RequestModel model = mOpenRequests.get(id);
            if (model != null && model.mClaiming) {
                model.mClaiming = false;
                model.mClaimed = result == ClaimResult.GRANTED;
                model.mMayHaveRun |= result == ClaimResult.ALREADY_CLAIMED;
            }
            send(new RoutingEvent.ClaimAnswered(id, result));
        }

        private void sendAttemptEnd() {
            RequestId id = randomRequest();
            RequestModel model = mOpenRequests.get(id);
            int attempt = 1 + mRandom.nextInt(model == null ? 3 : model.mAttemptCount + 1);
            AttemptOutcome outcome = ATTEMPT_OUTCOMES.get(mRandom.nextInt(ATTEMPT_OUTCOMES.size()));
            if (model != null && model.mTargetByRunningAttempt.containsKey(attempt)) {
                TargetId target = model.mTargetByRunningAttempt.remove(attempt);
                model.mMayHaveRun |=
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

        /** Returns a target with a random address; a new address means a new process. */
        private TargetInfo randomTargetInfo(int index, boolean draining) {
            return new TargetInfo(
                    new TargetId("x" + index),
                    new RegionId("r" + index / 3),
                    new FailureDomainId("d" + index / 2),
                    new HostPort("127.0.0.1", 1 + mRandom.nextInt(60_000)),
                    SLOTS,
                    2 * CONNECTIONS,
                    draining);
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
                RequestModel model = openRequest(a.request());
                assertThat(model.mRepeatable || model.mClaimed || model.mClaiming).isFalse();
                model.mClaiming = true;
            } else if (action instanceof RoutingAction.Dispatch a) {
                checkDispatch(a);
            } else if (action instanceof RoutingAction.AbortAttempt a) {
                assertThat(openRequest(a.request()).mTargetByRunningAttempt.remove(a.attempt()))
                        .isNotNull();
                openRequest(a.request()).mMayHaveRun = true;
            } else if (action instanceof RoutingAction.ReleaseClaim a) {
                RequestModel model = mOpenRequests.get(a.request());
                assertThat(
                                model == null
                                        ? mNotRunRequests.contains(a.request())
                                        : !model.mMayHaveRun)
                        .isTrue();
            } else if (action instanceof RoutingAction.Reject a) {
                RequestModel model = finishRequest(a.request());
                if (a.outcome() == RequestOutcome.NOT_RUN) {
                    mNotRunRequests.add(a.request());
                }
                assertThat(model.mTargetByRunningAttempt).isEmpty();
                assertThat(a.outcome())
                        .isEqualTo(
                                model.mMayHaveRun
                                        ? RequestOutcome.UNKNOWN
                                        : RequestOutcome.NOT_RUN);
            } else if (action instanceof RoutingAction.RequestFinished a) {
                finishRequest(a.request());
                assertThat(event).isInstanceOf(RoutingEvent.AttemptEnded.class);
                assertThat(((RoutingEvent.AttemptEnded) event).attempt()).isEqualTo(a.attempt());
            }
        }

        private void checkDispatch(RoutingAction.Dispatch dispatch) {
            RequestModel model = openRequest(dispatch.request());
            assertThat(model.mTargetByRunningAttempt).isEmpty();
            assertThat(model.mRepeatable || (model.mClaimed && !model.mMayHaveRun)).isTrue();
            assertThat(mNowMicros).isLessThan(model.mDeadlineMicros);
            assertThat(dispatch.attempt()).isEqualTo(++model.mAttemptCount);
            assertThat(mTargets).containsKey(dispatch.target());
            assertThat(mTargets.get(dispatch.target()).draining()).isFalse();
            assertThat(mDrainingTargets).doesNotContain(dispatch.target());
            model.mTargetByRunningAttempt.put(dispatch.attempt(), dispatch.target());
            long usedConnections =
                    mOpenRequests.values().stream()
                            .filter(r -> r.mTargetByRunningAttempt.containsValue(dispatch.target()))
                            .count();
            assertThat(usedConnections).isLessThanOrEqualTo(CONNECTIONS);
        }

        private RequestModel openRequest(RequestId id) {
            assertThat(mOpenRequests).containsKey(id);
            return mOpenRequests.get(id);
        }

        private RequestModel finishRequest(RequestId id) {
            RequestModel model = openRequest(id);
            mOpenRequests.remove(id);
            assertThat(mFinishedRequests.add(id)).isTrue();
            return model;
        }

        /** Returns mostly an open request, sometimes a finished or unknown one. */
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
