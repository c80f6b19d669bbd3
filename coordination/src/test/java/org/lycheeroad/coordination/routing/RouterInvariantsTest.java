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
    private static final long MAX_DEADLINE = 400_000;
    private static final List<ClaimResult> CLAIM_RESULTS = List.of(ClaimResult.values());
    private static final List<AttemptOutcome> OUTCOMES = List.of(AttemptOutcome.values());
    private static final RegionId REGION = new RegionId("r0");

    /** Guards against two final actions, false outcomes, second runs and broken bounds. */
    @Property(tries = 200, seed = "4711")
    void everyActionKeepsTheInvariants(@ForAll long seed) {
        Driver driver = new Driver(seed);
        for (int i = 0; i < 1_200; i++) {
            driver.randomEvent();
        }
        driver.mNow += MAX_DEADLINE;
        driver.send(new RoutingEvent.Tick());
        // Not repeatable work whose caller has gone ends at its deadline at the latest.
        assertThat(driver.mOpen).isEmpty();
        assertThat(driver.mRouter.openRequestCount()).isZero();
        assertThat(driver.mRouter.waitingRequestCount()).isZero();
        assertThat(driver.mRouter.requestCountByTarget()).isEmpty();
    }

    /** What a naive router would have to remember of a request. */
    private static final class Seen {
        final boolean mRepeatable;
        final long mDeadline;
        final Map<Integer, TargetId> mRunning = new HashMap<>();
        boolean mClaiming;
        boolean mClaimed;
        boolean mMayHaveRun;
        int mAttempts;

        Seen(boolean repeatable, long deadline) {
            mRepeatable = repeatable;
            mDeadline = deadline;
        }
    }

    private static final class Driver {
        final Random mRandom;
        final FairRequestRouter mRouter;
        final Map<RequestId, Seen> mOpen = new HashMap<>();
        final Set<RequestId> mFinished = new HashSet<>();
        final Set<RequestId> mNotRun = new HashSet<>();
        final Map<TargetId, TargetInfo> mTargets = new HashMap<>();
        final Set<TargetId> mDraining = new HashSet<>();
        long mNow;
        int mRequests;

        Driver(long seed) {
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

        void randomEvent() {
            mNow += mRandom.nextInt(8_000);
            int choice = mRandom.nextInt(100);
            if (choice < 30) {
                arrive();
            } else if (choice < 45) {
                claimAnswered();
            } else if (choice < 80) {
                attemptEnded();
            } else if (choice < 84) {
                send(new RoutingEvent.CallerDisconnected(anyRequest()));
            } else if (choice < 88) {
                targetsChanged();
            } else if (choice < 91) {
                send(
                        new RoutingEvent.PeerLoadReported(
                                new EntryId("p"), Map.of(target(), mRandom.nextInt(4))));
            } else if (choice < 93) {
                send(new RoutingEvent.ShareChanged(team(), kind(), mRandom.nextInt(400)));
            } else if (choice == 93 && mRandom.nextInt(20) == 0) {
                send(new RoutingEvent.DrainStarted());
            } else {
                send(new RoutingEvent.Tick());
            }
        }

        private void arrive() {
            boolean duplicate = mRandom.nextInt(20) == 0 && !mOpen.isEmpty();
            RequestId id = duplicate ? anyRequest() : new RequestId("q" + mRequests++);
            boolean repeatable = mRandom.nextBoolean();
            if (mFinished.contains(id)) {
                return;
            }
            long deadline = mNow + 1 + mRandom.nextInt((int) MAX_DEADLINE);
            mOpen.putIfAbsent(id, new Seen(repeatable, deadline));
            send(new RoutingEvent.RequestArrived(id, team(), kind(), repeatable, deadline));
        }

        private void claimAnswered() {
            RequestId id = anyRequest();
            ClaimResult result = CLAIM_RESULTS.get(Math.max(0, mRandom.nextInt(8) - 5));
            Seen seen = mOpen.get(id);
            if (seen != null && seen.mClaiming) {
                seen.mClaiming = false;
                seen.mClaimed = result == ClaimResult.GRANTED;
                seen.mMayHaveRun |= result == ClaimResult.ALREADY_CLAIMED;
            }
            send(new RoutingEvent.ClaimAnswered(id, result));
        }

        private void attemptEnded() {
            RequestId id = anyRequest();
            Seen seen = mOpen.get(id);
            int attempt = 1 + mRandom.nextInt(seen == null ? 3 : seen.mAttempts + 1);
            AttemptOutcome outcome = OUTCOMES.get(mRandom.nextInt(OUTCOMES.size()));
            if (seen != null && seen.mRunning.containsKey(attempt)) {
                TargetId target = seen.mRunning.remove(attempt);
                seen.mMayHaveRun |=
                        outcome == AttemptOutcome.BROKEN
                                || outcome == AttemptOutcome.WHOLE
                                || outcome == AttemptOutcome.FAILED_WHOLE;
                if (outcome == AttemptOutcome.REFUSED_DRAINING) {
                    mDraining.add(target);
                }
            }
            send(new RoutingEvent.AttemptEnded(id, attempt, outcome));
            send(
                    new RoutingEvent.LinkBytesCounted(
                            id, attempt, mRandom.nextInt(60_000), 200, mRandom.nextBoolean()));
        }

        private void targetsChanged() {
            mTargets.clear();
            for (int i = 0; i < 4; i++) {
                if (mRandom.nextInt(3) > 0) {
                    TargetInfo info = info(i, mRandom.nextInt(4) == 0);
                    mTargets.put(info.id(), info);
                    mDraining.remove(info.id());
                }
            }
            send(new RoutingEvent.TargetsChanged(List.copyOf(mTargets.values())));
        }

        /** A new address stands for a new process, which is not draining any more. */
        private TargetInfo info(int i, boolean leaving) {
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
            for (RoutingAction action : mRouter.handle(event, mNow)) {
                check(action, event);
            }
            assertThat(mRouter.openRequestCount()).isEqualTo(mOpen.size());
            assertThat(mRouter.waitingRequestCount())
                    .isLessThanOrEqualTo(MAX_QUEUED + 4 * CONNECTIONS);
        }

        private void check(RoutingAction action, RoutingEvent event) {
            if (action instanceof RoutingAction.StartClaim a) {
                Seen seen = open(a.request());
                assertThat(seen.mRepeatable || seen.mClaimed || seen.mClaiming).isFalse();
                seen.mClaiming = true;
            } else if (action instanceof RoutingAction.Dispatch a) {
                dispatched(a);
            } else if (action instanceof RoutingAction.AbortAttempt a) {
                assertThat(open(a.request()).mRunning.remove(a.attempt())).isNotNull();
                open(a.request()).mMayHaveRun = true;
            } else if (action instanceof RoutingAction.ReleaseClaim a) {
                Seen seen = mOpen.get(a.request());
                assertThat(seen == null ? mNotRun.contains(a.request()) : !seen.mMayHaveRun)
                        .isTrue();
            } else if (action instanceof RoutingAction.Reject a) {
                Seen seen = finish(a.request());
                if (a.outcome() == RequestOutcome.NOT_RUN) {
                    mNotRun.add(a.request());
                }
                assertThat(seen.mRunning).isEmpty();
                assertThat(a.outcome())
                        .isEqualTo(
                                seen.mMayHaveRun ? RequestOutcome.UNKNOWN : RequestOutcome.NOT_RUN);
            } else if (action instanceof RoutingAction.RequestFinished a) {
                finish(a.request());
                assertThat(event).isInstanceOf(RoutingEvent.AttemptEnded.class);
                assertThat(((RoutingEvent.AttemptEnded) event).attempt()).isEqualTo(a.attempt());
            }
        }

        private void dispatched(RoutingAction.Dispatch dispatch) {
            Seen seen = open(dispatch.request());
            assertThat(seen.mRunning).isEmpty();
            assertThat(seen.mRepeatable || (seen.mClaimed && !seen.mMayHaveRun)).isTrue();
            assertThat(mNow).isLessThan(seen.mDeadline);
            assertThat(dispatch.attempt()).isEqualTo(++seen.mAttempts);
            assertThat(mTargets).containsKey(dispatch.target());
            assertThat(mTargets.get(dispatch.target()).draining()).isFalse();
            assertThat(mDraining).doesNotContain(dispatch.target());
            seen.mRunning.put(dispatch.attempt(), dispatch.target());
            long used =
                    mOpen.values().stream()
                            .filter(s -> s.mRunning.containsValue(dispatch.target()))
                            .count();
            assertThat(used).isLessThanOrEqualTo(CONNECTIONS);
        }

        private Seen open(RequestId id) {
            assertThat(mOpen).containsKey(id);
            return mOpen.get(id);
        }

        private Seen finish(RequestId id) {
            Seen seen = open(id);
            mOpen.remove(id);
            assertThat(mFinished.add(id)).isTrue();
            return seen;
        }

        /** Mostly an open request, sometimes a finished or unknown one. */
        private RequestId anyRequest() {
            List<RequestId> ids = new ArrayList<>(mOpen.keySet());
            ids.sort(null);
            if (ids.isEmpty() || mRandom.nextInt(10) == 0) {
                return new RequestId("q" + mRandom.nextInt(mRequests + 1));
            }
            return ids.get(mRandom.nextInt(ids.size()));
        }

        private TargetId target() {
            return new TargetId("x" + mRandom.nextInt(4));
        }

        private TeamId team() {
            return new TeamId("t" + mRandom.nextInt(3));
        }

        private KindId kind() {
            return new KindId("k" + mRandom.nextInt(2));
        }
    }
}
