package org.lycheeroad.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** The send times of an open-loop load, fixed before it starts so that answers cannot delay it. */
final class LoadSchedule {
    private static final double NANOS_PER_SECOND = 1e9;

    /** A kind of request with its rate outside the swing. */
    record KindRate(String name, double requestsPerSecond) {
        /**
         * Parses {@code NAME=RATE}.
         *
         * @throws IllegalArgumentException if the text has another form
         */
        static KindRate parse(String text) {
            int equals = text.indexOf('=');
            try {
                double rate = Double.parseDouble(text.substring(equals + 1));
                if (equals > 0 && rate > 0) {
                    return new KindRate(text.substring(0, equals), rate);
                }
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException("--kind must be NAME=RATE: " + text, e);
            }
            throw new IllegalArgumentException("--kind must be NAME=RATE: " + text);
        }
    }

    /** One request, at a time in nanoseconds after the start. */
    record ScheduledRequest(long offsetNanos, KindRate kind) {}

    private LoadSchedule() {}

    /**
     * Draws Poisson arrivals; in the middle third of the time, the rates are multiplied by the
     * factor.
     */
    static List<ScheduledRequest> generate(
            List<KindRate> kinds, double seconds, double factor, long seed) {
        List<ScheduledRequest> sends = new ArrayList<>();
        Random random = new Random(seed);
        for (KindRate kind : kinds) {
            // Thinning: arrivals at the highest rate are kept with the share of the current rate.
            double top = kind.requestsPerSecond() * Math.max(1, factor);
            double at = 0;
            while (true) {
                at -= Math.log(1 - random.nextDouble()) / top;
                if (at >= seconds) {
                    break;
                }
                boolean swing = at >= seconds / 3 && at < 2 * seconds / 3;
                double rate = kind.requestsPerSecond() * (swing ? factor : 1);
                if (random.nextDouble() < rate / top) {
                    sends.add(new ScheduledRequest((long) (at * NANOS_PER_SECOND), kind));
                }
            }
        }
        sends.sort(Comparator.comparingLong(ScheduledRequest::offsetNanos));
        return sends;
    }
}
