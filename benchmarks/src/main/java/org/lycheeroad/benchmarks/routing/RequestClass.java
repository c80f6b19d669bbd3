package org.lycheeroad.benchmarks.routing;

import java.util.Random;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;

/**
 * A class of requests of one team with a distribution of service times.
 *
 * @param medianMicros the median of the log-normal service time of requests that are not stragglers
 * @param sigma the standard deviation of the logarithm of the service time
 * @param stragglerFraction the fraction of requests that are stragglers
 * @param stragglerFactor how many times longer a straggler runs
 * @param timeLimitMicros the time from arrival to deadline
 */
record RequestClass(
        TeamId team,
        KindId kind,
        double medianMicros,
        double sigma,
        double stragglerFraction,
        double stragglerFactor,
        long timeLimitMicros) {
    static final RequestClass CHECKS =
            new RequestClass(
                    new TeamId("clubs"), new KindId("check"), 30_000, 0.3, 0.01, 20, 5_000_000);
    static final RequestClass REVIEWS =
            new RequestClass(
                    new TeamId("safety"), new KindId("review"), 400_000, 0.5, 0.01, 10, 60_000_000);
    static final RequestClass RENDERS =
            new RequestClass(
                    new TeamId("booklet"),
                    new KindId("render"),
                    3_000_000,
                    0.5,
                    0.01,
                    5,
                    60_000_000);

    long serviceMicros(Random random) {
        double micros = medianMicros * Math.exp(sigma * random.nextGaussian());
        return (long) (random.nextDouble() < stragglerFraction ? micros * stragglerFactor : micros);
    }

    double meanMicros() {
        return medianMicros
                * Math.exp(sigma * sigma / 2)
                * (1 + stragglerFraction * (stragglerFactor - 1));
    }
}
