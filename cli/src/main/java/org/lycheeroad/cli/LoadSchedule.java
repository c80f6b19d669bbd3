package org.lycheeroad.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/**
 * The send times of an open-loop load, computed before the load starts so that slow responses
 * cannot delay later requests.
 */
final class LoadSchedule {
    private static final double NANOS_PER_SECOND = 1e9;

    /** A kind of request and its base rate, which applies outside the middle third of the time. */
    record KindRate(String name, double requestsPerSecond) {
        /**
         * Parses {@code NAME=RATE}.
         *
         * @throws IllegalArgumentException if the text does not have this form or the rate is not
         *     positive
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

    /** A request to send at an offset from the start of the load, in nanoseconds. */
    record ScheduledRequest(long offsetNanos, KindRate kind) {}

    private LoadSchedule() {}

    /**
     * Generates Poisson arrivals for each kind, ordered by send time. In the middle third of the
     * time, the rates are multiplied by the factor.
     */
    static List<ScheduledRequest> generate(
            List<KindRate> kindRates, double seconds, double factor, long seed) {
        List<ScheduledRequest> requests = new ArrayList<>();
        Random random = new Random(seed);
        for (KindRate kind : kindRates) {
            // Thinning: arrivals are drawn at the peak rate and each is kept with the probability
            // current rate / peak rate.
            double peakRate = kind.requestsPerSecond() * Math.max(1, factor);
            double atSeconds = 0;
            while (true) {
                atSeconds -= Math.log(1 - random.nextDouble()) / peakRate;
                if (atSeconds >= seconds) {
                    break;
                }
                boolean inMiddleThird = atSeconds >= seconds / 3 && atSeconds < 2 * seconds / 3;
                double rate = kind.requestsPerSecond() * (inMiddleThird ? factor : 1);
                if (random.nextDouble() < rate / peakRate) {
                    requests.add(new ScheduledRequest((long) (atSeconds * NANOS_PER_SECOND), kind));
                }
            }
        }
        requests.sort(Comparator.comparingLong(ScheduledRequest::offsetNanos));
        return requests;
    }
}
