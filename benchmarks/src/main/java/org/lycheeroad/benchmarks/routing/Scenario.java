package org.lycheeroad.benchmarks.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.lycheeroad.state.id.RequestId;

/**
 * The load and the faults of one simulation run.
 *
 * @param refuseWhenBusy whether targets refuse requests while all slots are busy instead of
 *     queueing them
 * @param fromMicros the start of the measured interval; earlier arrivals are not measured
 * @param untilMicros the exclusive end of the measured interval
 */
record Scenario(
        String name,
        List<Load> loads,
        boolean refuseWhenBusy,
        List<Fault> faults,
        long fromMicros,
        long untilMicros) {
    static final int ENTRY_COUNT = 8;
    static final int TARGET_COUNT = 30;
    static final int SLOTS_PER_TARGET = 8;
    static final long SECOND_MICROS = 1_000_000;
    private static final long WARM_UP_MICROS = 10 * SECOND_MICROS;
    private static final long LENGTH_MICROS = 60 * SECOND_MICROS;
    private static final long PEAK_START_MICROS = 30 * SECOND_MICROS;
    private static final long PEAK_RAMP_MICROS = 2 * SECOND_MICROS;
    private static final long PEAK_HOLD_MICROS = 8 * SECOND_MICROS;

    /**
     * Requests of one class that arrive at some of the entries.
     *
     * @param meanBusySlots the mean number of slots that the requests occupy outside of the peak
     * @param peakFactor how many times higher the arrival rate is at the peak
     */
    record Load(
            RequestClass requestClass,
            double meanBusySlots,
            List<Integer> entries,
            double peakFactor) {}

    /** A fault of one target during an interval. */
    record Fault(int target, Kind kind, long fromMicros, long untilMicros) {
        enum Kind {
            SLOW,
            FROZEN,
            BREAKING,
            ERRORS
        }
    }

    private static final List<Integer> ALL_ENTRIES = List.of(0, 1, 2, 3, 4, 5, 6, 7);

    static List<Scenario> all() {
        List<Scenario> scenarios = new ArrayList<>();
        for (boolean refuseWhenBusy : new boolean[] {false, true}) {
            String suffix = refuseWhenBusy ? "-refusing" : "";
            scenarios.add(steadyScenario("light" + suffix, 0.4, refuseWhenBusy, List.of()));
            scenarios.add(steadyScenario("stragglers" + suffix, 0.75, refuseWhenBusy, List.of()));
            scenarios.add(steadyScenario("overload" + suffix, 1.3, refuseWhenBusy, List.of()));
            scenarios.add(peakScenario("crest" + suffix, refuseWhenBusy));
            scenarios.add(
                    steadyScenario(
                            "faults" + suffix,
                            0.6,
                            refuseWhenBusy,
                            List.of(
                                    fault(1, Fault.Kind.SLOW),
                                    fault(4, Fault.Kind.FROZEN),
                                    fault(12, Fault.Kind.BREAKING),
                                    fault(15, Fault.Kind.ERRORS))));
        }
        scenarios.add(hotRegionScenario());
        scenarios.add(
                new Scenario(
                        "short-only",
                        List.of(new Load(RequestClass.CHECKS, 170, ALL_ENTRIES, 1)),
                        false,
                        List.of(),
                        WARM_UP_MICROS,
                        LENGTH_MICROS));
        return scenarios;
    }

    private static Fault fault(int target, Fault.Kind kind) {
        return new Fault(target, kind, 20 * SECOND_MICROS, 45 * SECOND_MICROS);
    }

    private static Scenario steadyScenario(
            String name, double utilisation, boolean refuseWhenBusy, List<Fault> faults) {
        double busySlots = utilisation * TARGET_COUNT * SLOTS_PER_TARGET;
        return new Scenario(
                name,
                List.of(
                        new Load(RequestClass.CHECKS, 0.2 * busySlots, ALL_ENTRIES, 1),
                        new Load(RequestClass.REVIEWS, 0.25 * busySlots, ALL_ENTRIES, 1),
                        new Load(RequestClass.RENDERS, 0.55 * busySlots, ALL_ENTRIES, 1)),
                refuseWhenBusy,
                faults,
                WARM_UP_MICROS,
                LENGTH_MICROS);
    }

    /** The rate of checks grows tenfold within 2 s at two entries of the first region. */
    private static Scenario peakScenario(String name, boolean refuseWhenBusy) {
        return new Scenario(
                name,
                List.of(
                        new Load(RequestClass.CHECKS, 6, List.of(2, 3, 4, 5, 6, 7), 1),
                        new Load(RequestClass.CHECKS, 6, List.of(0, 1), 10),
                        new Load(RequestClass.REVIEWS, 20, ALL_ENTRIES, 1),
                        new Load(RequestClass.RENDERS, 80, ALL_ENTRIES, 1)),
                refuseWhenBusy,
                List.of(),
                PEAK_START_MICROS,
                PEAK_START_MICROS + PEAK_RAMP_MICROS + PEAK_HOLD_MICROS);
    }

    /** The second region is overloaded while the first one has free slots. */
    private static Scenario hotRegionScenario() {
        return new Scenario(
                "hot-region",
                List.of(
                        new Load(RequestClass.CHECKS, 20, List.of(0, 1, 2, 3, 4, 5), 1),
                        new Load(RequestClass.RENDERS, 40, List.of(0, 1, 2, 3, 4, 5), 1),
                        new Load(RequestClass.CHECKS, 15, List.of(6, 7), 1),
                        new Load(RequestClass.RENDERS, 75, List.of(6, 7), 1)),
                false,
                List.of(),
                WARM_UP_MICROS,
                LENGTH_MICROS);
    }

    /** Returns the requests of the scenario in arrival order. */
    List<Arrival> arrivals(long seed) {
        List<Arrival> arrivals = new ArrayList<>();
        Random random = new Random(seed);
        for (Load load : loads) {
            double baseRatePerMicro = load.meanBusySlots() / load.requestClass().meanMicros();
            double peakRatePerMicro = baseRatePerMicro * load.peakFactor();
            for (double atMicros = 0; atMicros < LENGTH_MICROS; ) {
                atMicros += -Math.log(1 - random.nextDouble()) / peakRatePerMicro;
                long serviceMicros = load.requestClass().serviceMicros(random);
                int entry = load.entries().get(random.nextInt(load.entries().size()));
                if (random.nextDouble() * load.peakFactor() <= loadFactor(load, atMicros)) {
                    arrivals.add(
                            new Arrival(
                                    (long) atMicros,
                                    entry,
                                    new RequestId("q" + arrivals.size()),
                                    load.requestClass().team(),
                                    load.requestClass().kind(),
                                    serviceMicros,
                                    (long) atMicros + load.requestClass().timeLimitMicros()));
                }
            }
        }
        arrivals.sort(Comparator.comparingLong(Arrival::atMicros));
        return arrivals;
    }

    private static double loadFactor(Load load, double atMicros) {
        double rampProgress = (atMicros - PEAK_START_MICROS) / PEAK_RAMP_MICROS;
        if (rampProgress < 0
                || atMicros > PEAK_START_MICROS + PEAK_RAMP_MICROS + PEAK_HOLD_MICROS) {
            return 1;
        }
        return 1 + (load.peakFactor() - 1) * Math.min(1, rampProgress);
    }
}
