package org.lycheeroad.benchmarks.routing;

import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import org.lycheeroad.coordination.routing.FairRequestRouter;
import org.lycheeroad.coordination.routing.RequestRouter;
import org.lycheeroad.coordination.routing.RouterSettings;

/**
 * Compares the fair router with a round-robin baseline on the same simulated arrivals and prints
 * Markdown tables.
 *
 * <p>Arguments: the seed (default 1) and the names of the scenarios (default all). With {@code
 * -Dlycheeroad.hedging=true}, the router is also run with hedging.
 */
public final class RoutingComparison {
    private static final String HEDGING_PROPERTY = "lycheeroad.hedging";

    private RoutingComparison() {}

    /** Runs the comparison. */
    public static void main(String[] args) {
        long seed = args.length > 0 ? Long.parseLong(args[0]) : 1;
        List<String> names = List.of(args).subList(Math.min(1, args.length), args.length);
        StringBuilder summary = new StringBuilder();
        System.out.println(
                "| scenario | router | kind | p50 ms | p99 ms | p99.9 ms"
                        + " | answered | errors | unanswered | shed | shed after ms p99 |");
        System.out.println("|---|---|---|---|---|---|---|---|---|---|---|");
        for (Scenario scenario : Scenario.all()) {
            if (!names.isEmpty() && !names.contains(scenario.name())) {
                continue;
            }
            List<Arrival> arrivals = scenario.arrivals(seed);
            Results baseline =
                    run(
                            scenario,
                            arrivals,
                            (settings, routerSeed) ->
                                    new RoundRobinRouter(settings.region(), settings.entryCount()),
                            seed);
            Results router = run(scenario, arrivals, FairRequestRouter::new, seed);
            System.out.print(
                    serviceTimesOnly(scenario, arrivals)
                            .formatRows(scenario.name(), "(service time)"));
            System.out.print(baseline.formatRows(scenario.name(), "round robin"));
            System.out.print(router.formatRows(scenario.name(), "fair"));
            summary.append(summary(scenario, baseline, router));
            if (Boolean.getBoolean(HEDGING_PROPERTY)) {
                Results hedged =
                        run(scenario, arrivals, RoutingComparison::createHedgingRouter, seed);
                System.out.print(hedged.formatRows(scenario.name(), "fair, hedged"));
                summary.append(hedgingSummary(scenario, router, hedged));
            }
        }
        System.out.println();
        System.out.println(
                "| scenario | p99 of checks to baseline | p99 of added ms baseline/fair"
                        + " | answered to baseline"
                        + " | busy slot time to baseline | refusals baseline/fair"
                        + " | crossings baseline/fair |");
        System.out.println("|---|---|---|---|---|---|---|");
        System.out.print(summary);
    }

    private static Results run(
            Scenario scenario,
            List<Arrival> arrivals,
            BiFunction<RouterSettings, Long, RequestRouter> factory,
            long seed) {
        return new RoutingSimulation(scenario, arrivals, factory, seed).run();
    }

    private static RequestRouter createHedgingRouter(RouterSettings settings, long seed) {
        return new HedgingRouter(new FairRequestRouter(settings, seed));
    }

    private static String hedgingSummary(Scenario scenario, Results unhedged, Results hedged) {
        return String.format(
                Locale.ROOT,
                "hedging in %s: p99 of checks %.0f to %.0f ms, busy time %.3f, attempts %.3f%n",
                scenario.name(),
                unhedged.p99Millis("check"),
                hedged.p99Millis("check"),
                hedged.mBusyMicros / unhedged.mBusyMicros,
                (double) hedged.mAttempts / unhedged.mAttempts);
    }

    /** Returns the service times alone, a lower bound for the latencies of every router. */
    private static Results serviceTimesOnly(Scenario scenario, List<Arrival> arrivals) {
        Results results = new Results();
        for (Arrival arrival : arrivals) {
            if (arrival.atMicros() >= scenario.fromMicros()
                    && arrival.atMicros() < scenario.untilMicros()) {
                results.answered(arrival, arrival.atMicros() + arrival.serviceMicros());
            }
        }
        return results;
    }

    private static String summary(Scenario scenario, Results baseline, Results router) {
        return String.format(
                Locale.ROOT,
                "| %s | %.2f | %.1f/%.1f | %.3f | %.3f | %d/%d | %d/%d |%n",
                scenario.name(),
                router.p99Millis("check") / baseline.p99Millis("check"),
                baseline.addedP99Millis("check"),
                router.addedP99Millis("check"),
                (double) router.answered() / baseline.answered(),
                router.mUsefulServiceMicros / baseline.mUsefulServiceMicros,
                baseline.mRefusals,
                router.mRefusals,
                baseline.mCrossRegionAttempts,
                router.mCrossRegionAttempts);
    }
}
