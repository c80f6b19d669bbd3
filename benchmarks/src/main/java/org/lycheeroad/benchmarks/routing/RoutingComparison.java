package org.lycheeroad.benchmarks.routing;

import java.util.List;
import java.util.Locale;
import java.util.function.BiFunction;
import org.lycheeroad.coordination.routing.FairRequestRouter;
import org.lycheeroad.coordination.routing.RequestRouter;
import org.lycheeroad.coordination.routing.RouterSettings;

/**
 * Feeds the router and a baseline with the same arrivals and prints a Markdown table.
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
                            (s, n) -> new RoundRobinRouter(s.region(), s.entryCount()),
                            seed);
            Results router = run(scenario, arrivals, FairRequestRouter::new, seed);
            System.out.print(alone(scenario, arrivals).lines(scenario.name(), "(service time)"));
            System.out.print(baseline.lines(scenario.name(), "round robin"));
            System.out.print(router.lines(scenario.name(), "fair"));
            summary.append(summary(scenario, baseline, router));
            if (Boolean.getBoolean(HEDGING_PROPERTY)) {
                Results hedged = run(scenario, arrivals, RoutingComparison::hedging, seed);
                System.out.print(hedged.lines(scenario.name(), "fair, hedged"));
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
        return new Simulation(scenario, arrivals, factory, seed).run();
    }

    private static RequestRouter hedging(RouterSettings settings, long seed) {
        return new HedgingRouter(new FairRequestRouter(settings, seed));
    }

    private static String hedgingSummary(Scenario scenario, Results plain, Results hedged) {
        return String.format(
                Locale.ROOT,
                "hedging in %s: p99 of checks %.0f to %.0f ms, busy time %.3f, attempts %.3f%n",
                scenario.name(),
                plain.p99("check"),
                hedged.p99("check"),
                hedged.mBusyMicros / plain.mBusyMicros,
                (double) hedged.mAttempts / plain.mAttempts);
    }

    /** The service times themselves, which no router can go below. */
    private static Results alone(Scenario scenario, List<Arrival> arrivals) {
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
                router.p99("check") / baseline.p99("check"),
                baseline.addedP99("check"),
                router.addedP99("check"),
                (double) router.answered() / baseline.answered(),
                router.mUsefulMicros / baseline.mUsefulMicros,
                baseline.mRefused,
                router.mRefused,
                baseline.mCrossed,
                router.mCrossed);
    }
}
