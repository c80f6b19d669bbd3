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

/** Eight entries and thirty targets in three failure domains of two regions. */
final class Simulation {
    /** Bytes of a request or of its answer; 30 kB for both. */
    private static final int WAY_BYTES = 15_000;

    private static final long TICK_MICROS = 5_000;
    private static final long HEARTBEAT_MICROS = 500_000;
    private static final long[] ONE_WAY_MICROS = {250, 1_500, 30_000};
    private static final int[] ENTRY_DOMAINS = {0, 1, 0, 1, 0, 1, 2, 2};

    private final Scenario mScenario;
    private final Schedule mSchedule = new Schedule();
    private final List<RequestRouter> mRouters = new ArrayList<>();
    private final List<Map<TargetId, Integer>> mInFlight = new ArrayList<>();
    private final Map<TargetId, TargetModel> mTargets = new HashMap<>();
    private final Map<TargetId, Integer> mTargetDomains = new HashMap<>();
    private final Map<RequestId, Arrival> mOpen = new HashMap<>();
    private final Map<String, TargetModel.Job> mJobs = new HashMap<>();
    private final Map<RequestId, TargetId> mLastTarget = new HashMap<>();
    private final Map<RequestId, Boolean> mErrors = new HashMap<>();
    private final Results mResults = new Results();
    private final long mEnd;

    Simulation(
            Scenario scenario,
            List<Arrival> arrivals,
            BiFunction<RouterSettings, Long, RequestRouter> factory,
            long seed) {
        mScenario = scenario;
        mEnd = arrivals.get(arrivals.size() - 1).atMicros() + 61 * Scenario.SECOND;
        List<TargetInfo> infos = new ArrayList<>();
        for (int i = 0; i < Scenario.TARGETS; i++) {
            int target = i;
            int domain = i * 3 / Scenario.TARGETS;
            TargetInfo info = info(i, domain);
            infos.add(info);
            mTargetDomains.put(info.id(), domain);
            mTargets.put(
                    info.id(),
                    new TargetModel(
                            mSchedule,
                            scenario.refuseWhenBusy(),
                            scenario.faults().stream().filter(f -> f.target() == target).toList()));
        }
        Random phases = new Random(seed);
        for (int i = 0; i < Scenario.ENTRIES; i++) {
            int entry = i;
            RouterSettings settings =
                    new RouterSettings(
                            new EntryId("e" + i),
                            region(ENTRY_DOMAINS[i]),
                            domain(ENTRY_DOMAINS[i]),
                            Scenario.ENTRIES);
            mRouters.add(factory.apply(settings, seed + i));
            mInFlight.add(new HashMap<>());
            mSchedule.at(0, () -> feed(entry, new RoutingEvent.TargetsChanged(infos)));
            // The entries need the link alike, so that the role holder would share it evenly.
            mSchedule.at(
                    0,
                    () ->
                            feed(
                                    entry,
                                    new RoutingEvent.ShareChanged(
                                            InterRegionLinkLimit.KEY.team(),
                                            InterRegionLinkLimit.KEY.kind(),
                                            1.0
                                                    * RouterSettings.DEFAULT_LINK_BYTES_PER_SECOND
                                                    / Scenario.ENTRIES)));
            long phase = phases.nextInt((int) HEARTBEAT_MICROS);
            mSchedule.every(phase, HEARTBEAT_MICROS, mEnd, () -> heartbeat(entry));
            mSchedule.every(
                    phase % TICK_MICROS,
                    TICK_MICROS,
                    mEnd,
                    () -> feed(entry, new RoutingEvent.Tick()));
        }
        arrivals.forEach(a -> mSchedule.at(a.atMicros(), () -> arrive(a)));
    }

    Results run() {
        mSchedule.runUntil(mEnd);
        if (!mOpen.isEmpty()) {
            throw new IllegalStateException(mOpen.size() + " requests have no final action");
        }
        mTargets.values().forEach(t -> mResults.mBusyMicros += t.busyMicros());
        return mResults;
    }

    private void arrive(Arrival arrival) {
        mOpen.put(arrival.request(), arrival);
        feed(
                arrival.entry(),
                new RoutingEvent.RequestArrived(
                        arrival.request(),
                        arrival.team(),
                        arrival.kind(),
                        true,
                        arrival.deadlineMicros()));
    }

    private void heartbeat(int from) {
        Map<TargetId, Integer> load = mRouters.get(from).takeLoadReport(mSchedule.now());
        for (int i = 0; i < Scenario.ENTRIES; i++) {
            int to = i;
            if (to != from) {
                mSchedule.after(
                        oneWay(ENTRY_DOMAINS[from], ENTRY_DOMAINS[to]),
                        () ->
                                feed(
                                        to,
                                        new RoutingEvent.PeerLoadReported(
                                                new EntryId("e" + from), load)));
            }
        }
    }

    private void feed(int entry, RoutingEvent event) {
        for (RoutingAction action : mRouters.get(entry).handle(event, mSchedule.now())) {
            if (action instanceof RoutingAction.Dispatch a) {
                dispatch(entry, a);
            } else if (action instanceof RoutingAction.AbortAttempt a) {
                abort(entry, a);
            } else if (action instanceof RoutingAction.Reject a) {
                Arrival arrival = mOpen.remove(a.request());
                if (isMeasured(arrival)) {
                    mResults.unanswered(arrival, a.outcome(), mSchedule.now());
                }
            } else if (action instanceof RoutingAction.RequestFinished a) {
                finished(mOpen.remove(a.request()));
            }
        }
    }

    private void finished(Arrival arrival) {
        boolean error = mErrors.remove(arrival.request()) != null;
        if (!error) {
            mResults.mUsefulMicros += arrival.serviceMicros();
        }
        if (isMeasured(arrival)) {
            if (error) {
                mResults.errorAnswer(arrival);
            } else {
                mResults.answered(arrival, mSchedule.now());
            }
        }
    }

    private void dispatch(int entry, RoutingAction.Dispatch dispatch) {
        Arrival arrival = mOpen.get(dispatch.request());
        TargetId target = dispatch.target();
        mInFlight.get(entry).merge(target, 1, Integer::sum);
        mLastTarget.put(dispatch.request(), target);
        long way = oneWay(ENTRY_DOMAINS[entry], mTargetDomains.get(target));
        mResults.mAttempts++;
        if (way == ONE_WAY_MICROS[2]) {
            mResults.mCrossed++;
        }
        String key = dispatch.request() + "#" + dispatch.attempt();
        TargetModel.Job job =
                new TargetModel.Job(
                        arrival.serviceMicros(),
                        () -> {},
                        (outcome, at) ->
                                mSchedule.after(way, () -> ended(entry, dispatch, key, outcome)));
        mJobs.put(key, job);
        mSchedule.after(way, () -> mTargets.get(target).receive(job));
    }

    private void ended(
            int entry, RoutingAction.Dispatch dispatch, String key, AttemptOutcome outcome) {
        TargetModel.Job job = mJobs.remove(key);
        if (job == null) {
            return;
        }
        mInFlight.get(entry).merge(dispatch.target(), -1, Integer::sum);
        if (outcome == AttemptOutcome.REFUSED_NOT_RUN) {
            mResults.mRefused++;
        }
        if (outcome == AttemptOutcome.FAILED_WHOLE) {
            mErrors.put(dispatch.request(), true);
        }
        linkBytes(entry, dispatch.request(), dispatch.attempt(), dispatch.target());
        feed(entry, new RoutingEvent.AttemptEnded(dispatch.request(), dispatch.attempt(), outcome));
    }

    private void abort(int entry, RoutingAction.AbortAttempt abort) {
        TargetModel.Job job = mJobs.remove(abort.request() + "#" + abort.attempt());
        if (job != null) {
            mInFlight.get(entry).merge(mLastTarget.get(abort.request()), -1, Integer::sum);
            job.mClosed = true;
            TargetId target = mLastTarget.get(abort.request());
            mSchedule.after(0, () -> linkBytes(entry, abort.request(), abort.attempt(), target));
        }
    }

    private void linkBytes(int entry, RequestId request, int attempt, TargetId target) {
        if (oneWay(ENTRY_DOMAINS[entry], mTargetDomains.get(target)) == ONE_WAY_MICROS[2]) {
            feed(
                    entry,
                    new RoutingEvent.LinkBytesCounted(
                            request, attempt, WAY_BYTES, WAY_BYTES, true));
        }
    }

    private boolean isMeasured(Arrival arrival) {
        return arrival.atMicros() >= mScenario.fromMicros()
                && arrival.atMicros() < mScenario.untilMicros();
    }

    private static long oneWay(int a, int b) {
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
                Scenario.SLOTS,
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
