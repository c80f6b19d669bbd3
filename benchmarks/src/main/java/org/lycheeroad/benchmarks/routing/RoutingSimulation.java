package org.lycheeroad.benchmarks.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.BiFunction;
import org.lycheeroad.coordination.limits.InterRegionLinkLimit;
import org.lycheeroad.coordination.routing.AttemptOutcome;
import org.lycheeroad.coordination.routing.RequestRouter;
import org.lycheeroad.coordination.routing.RouterSettings;
import org.lycheeroad.coordination.routing.RoutingAction;
import org.lycheeroad.coordination.routing.RoutingEvent;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.TargetInfo;

/**
 * A discrete-event simulation of eight entries and thirty targets in three failure domains of two
 * regions.
 */
final class RoutingSimulation {
    /** The size of a request and the size of its answer; together 30 kB. */
    private static final int ONE_WAY_BYTES = 15_000;

    private static final long TICK_MICROS = 5_000;
    private static final long HEARTBEAT_MICROS = 500_000;

    /** Latencies within a failure domain, between domains of a region and between regions. */
    private static final long[] ONE_WAY_MICROS = {250, 1_500, 30_000};

    /** The failure domain of each entry. */
    private static final int[] ENTRY_DOMAINS = {0, 1, 0, 1, 0, 1, 2, 2};

    private final Scenario mScenario;
    private final EventQueue mEventQueue = new EventQueue();
    private final List<RequestRouter> mRouters = new ArrayList<>();
    private final List<Map<TargetId, Integer>> mInFlight = new ArrayList<>();
    private final Map<TargetId, SimulatedTarget> mTargets = new HashMap<>();
    private final Map<TargetId, Integer> mTargetDomains = new HashMap<>();
    private final Map<RequestId, Arrival> mOpenRequests = new HashMap<>();
    private final Map<String, SimulatedTarget.Attempt> mAttempts = new HashMap<>();
    private final Map<RequestId, TargetId> mLastTarget = new HashMap<>();
    private final Map<RequestId, Boolean> mErrorAnswers = new HashMap<>();
    private final Results mResults = new Results();
    private final long mEndMicros;

    RoutingSimulation(
            Scenario scenario,
            List<Arrival> arrivals,
            BiFunction<RouterSettings, Long, RequestRouter> factory,
            long seed) {
        mScenario = scenario;
        mEndMicros = arrivals.get(arrivals.size() - 1).atMicros() + 61 * Scenario.SECOND_MICROS;
        List<TargetInfo> infos = new ArrayList<>();
        for (int i = 0; i < Scenario.TARGET_COUNT; i++) {
            int target = i;
            int domain = i * 3 / Scenario.TARGET_COUNT;
            TargetInfo info = info(i, domain);
            infos.add(info);
            mTargetDomains.put(info.id(), domain);
            mTargets.put(
                    info.id(),
                    new SimulatedTarget(
                            mEventQueue,
                            scenario.refuseWhenBusy(),
                            scenario.faults().stream().filter(f -> f.target() == target).toList()));
        }
        Random phases = new Random(seed);
        for (int i = 0; i < Scenario.ENTRY_COUNT; i++) {
            int entry = i;
            RouterSettings settings =
                    new RouterSettings(
                            new EntryId("e" + i),
                            region(ENTRY_DOMAINS[i]),
                            domain(ENTRY_DOMAINS[i]),
                            Scenario.ENTRY_COUNT);
            mRouters.add(factory.apply(settings, seed + i));
            mInFlight.add(new HashMap<>());
            mEventQueue.at(0, () -> handleEvent(entry, new RoutingEvent.TargetsChanged(infos)));
            // All entries have the same need for the link, so the role holder would share it
            // equally.
            mEventQueue.at(
                    0,
                    () ->
                            handleEvent(
                                    entry,
                                    new RoutingEvent.ShareChanged(
                                            InterRegionLinkLimit.KEY.team(),
                                            InterRegionLinkLimit.KEY.kind(),
                                            1.0
                                                    * RouterSettings.DEFAULT_LINK_BYTES_PER_SECOND
                                                    / Scenario.ENTRY_COUNT)));
            long phase = phases.nextInt((int) HEARTBEAT_MICROS);
            mEventQueue.every(phase, HEARTBEAT_MICROS, mEndMicros, () -> sendLoadReport(entry));
            mEventQueue.every(
                    phase % TICK_MICROS,
                    TICK_MICROS,
                    mEndMicros,
                    () -> handleEvent(entry, new RoutingEvent.Tick()));
        }
        arrivals.forEach(a -> mEventQueue.at(a.atMicros(), () -> onArrival(a)));
    }

    Results run() {
        mEventQueue.runUntil(mEndMicros);
        if (!mOpenRequests.isEmpty()) {
            throw new IllegalStateException(
                    mOpenRequests.size() + " requests were neither finished nor rejected");
        }
        mTargets.values().forEach(target -> mResults.mBusyMicros += target.busyMicros());
        return mResults;
    }

    private void onArrival(Arrival arrival) {
        mOpenRequests.put(arrival.request(), arrival);
        handleEvent(
                arrival.entry(),
                new RoutingEvent.RequestArrived(
                        arrival.request(),
                        arrival.team(),
                        arrival.kind(),
                        true,
                        arrival.deadlineMicros()));
    }

    private void sendLoadReport(int from) {
        Map<TargetId, Integer> load = mRouters.get(from).takeLoadReport(mEventQueue.nowMicros());
        for (int i = 0; i < Scenario.ENTRY_COUNT; i++) {
            int to = i;
            if (to != from) {
                mEventQueue.after(
                        oneWayMicros(ENTRY_DOMAINS[from], ENTRY_DOMAINS[to]),
                        () ->
                                handleEvent(
                                        to,
                                        new RoutingEvent.PeerLoadReported(
                                                new EntryId("e" + from), load)));
            }
        }
    }

    private void handleEvent(int entry, RoutingEvent event) {
        for (RoutingAction action : mRouters.get(entry).handle(event, mEventQueue.nowMicros())) {
            if (action instanceof RoutingAction.Dispatch a) {
                dispatch(entry, a);
            } else if (action instanceof RoutingAction.AbortAttempt a) {
                abort(entry, a);
            } else if (action instanceof RoutingAction.Reject a) {
                Arrival arrival = mOpenRequests.remove(a.request());
                if (isMeasured(arrival)) {
                    mResults.recordUnanswered(arrival, a.outcome(), mEventQueue.nowMicros());
                }
            } else if (action instanceof RoutingAction.RequestFinished a) {
                onFinished(mOpenRequests.remove(a.request()));
            }
        }
    }

    private void onFinished(Arrival arrival) {
        boolean error = mErrorAnswers.remove(arrival.request()) != null;
        if (!error) {
            mResults.mUsefulServiceMicros += arrival.serviceMicros();
        }
        if (isMeasured(arrival)) {
            if (error) {
                mResults.recordErrorAnswer(arrival);
            } else {
                mResults.answered(arrival, mEventQueue.nowMicros());
            }
        }
    }

    private void dispatch(int entry, RoutingAction.Dispatch dispatch) {
        Arrival arrival = mOpenRequests.get(dispatch.request());
        TargetId target = dispatch.target();
        mInFlight.get(entry).merge(target, 1, Integer::sum);
        mLastTarget.put(dispatch.request(), target);
        long oneWayMicros = oneWayMicros(ENTRY_DOMAINS[entry], mTargetDomains.get(target));
        mResults.mAttempts++;
        if (oneWayMicros == ONE_WAY_MICROS[2]) {
            mResults.mCrossRegionAttempts++;
        }
        String attemptKey = dispatch.request() + "#" + dispatch.attempt();
        SimulatedTarget.Attempt attempt =
                new SimulatedTarget.Attempt(
                        arrival.serviceMicros(),
                        () -> {},
                        (outcome, atMicros) ->
                                mEventQueue.after(
                                        oneWayMicros,
                                        () ->
                                                onAttemptEnded(
                                                        entry, dispatch, attemptKey, outcome)));
        mAttempts.put(attemptKey, attempt);
        mEventQueue.after(oneWayMicros, () -> mTargets.get(target).receive(attempt));
    }

    private void onAttemptEnded(
            int entry, RoutingAction.Dispatch dispatch, String attemptKey, AttemptOutcome outcome) {
        SimulatedTarget.Attempt attempt = mAttempts.remove(attemptKey);
        if (attempt == null) {
            return;
        }
        mInFlight.get(entry).merge(dispatch.target(), -1, Integer::sum);
        if (outcome == AttemptOutcome.REFUSED_NOT_RUN) {
            mResults.mRefusals++;
        }
        if (outcome == AttemptOutcome.FAILED_WHOLE) {
            mErrorAnswers.put(dispatch.request(), true);
        }
        countLinkBytes(entry, dispatch.request(), dispatch.attempt(), dispatch.target());
        handleEvent(
                entry,
                new RoutingEvent.AttemptEnded(dispatch.request(), dispatch.attempt(), outcome));
    }

    private void abort(int entry, RoutingAction.AbortAttempt abort) {
        SimulatedTarget.Attempt attempt = mAttempts.remove(abort.request() + "#" + abort.attempt());
        if (attempt != null) {
            mInFlight.get(entry).merge(mLastTarget.get(abort.request()), -1, Integer::sum);
            attempt.mClosed = true;
            TargetId target = mLastTarget.get(abort.request());
            mEventQueue.after(
                    0, () -> countLinkBytes(entry, abort.request(), abort.attempt(), target));
        }
    }

    private void countLinkBytes(int entry, RequestId request, int attempt, TargetId target) {
        if (oneWayMicros(ENTRY_DOMAINS[entry], mTargetDomains.get(target)) == ONE_WAY_MICROS[2]) {
            handleEvent(
                    entry,
                    new RoutingEvent.LinkBytesCounted(
                            request, attempt, ONE_WAY_BYTES, ONE_WAY_BYTES, true));
        }
    }

    private boolean isMeasured(Arrival arrival) {
        return arrival.atMicros() >= mScenario.fromMicros()
                && arrival.atMicros() < mScenario.untilMicros();
    }

    private static long oneWayMicros(int a, int b) {
        if (a == b) {
            return ONE_WAY_MICROS[0];
        }
        return ONE_WAY_MICROS[a / 2 == b / 2 ? 1 : 2];
    }

    private static TargetInfo info(int target, int domain) {
        return new TargetInfo(
                new TargetId("t" + target),
                region(domain),
                domain(domain),
                new HostPort("127.0.0.1", 10_000 + target),
                Scenario.SLOTS_PER_TARGET,
                64,
                false);
    }

    /** Domains 0 and 1 are in one region, domain 2 in another. */
    private static RegionId region(int domain) {
        return new RegionId("r" + domain / 2);
    }

    private static FailureDomainId domain(int domain) {
        return new FailureDomainId("d" + domain);
    }
}
