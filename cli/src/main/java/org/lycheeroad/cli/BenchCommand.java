package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.lycheeroad.protocol.api.RequestHeaders;

/**
 * Generates an open-loop load: requests are sent at scheduled times, whether or not earlier ones
 * have been answered.
 *
 * <p>Latency is measured from the scheduled send time, which avoids coordinated omission: a stall
 * of the entries or of this process shows in every request that it delays.
 */
@Command(name = "bench", description = "Measures latency under an open-loop load with a swing")
public final class BenchCommand extends CliCommand {
    /** Limit on the expected number of requests; a higher number indicates wrong options. */
    private static final int MAX_REQUESTS = 500_000;

    @Option(name = "--team", description = "Team", title = "team")
    @Required
    String mTeam;

    @Option(
            name = "--kind",
            description = "NAME=REQUESTS_PER_SECOND, may be repeated",
            title = "kind")
    @Required
    List<String> mKinds;

    @Option(name = "--seconds", description = "Duration in seconds", title = "seconds")
    double mSeconds = 15;

    @Option(
            name = "--swing",
            description = "Factor of the rates in the middle third of the time",
            title = "swing")
    double mSwingFactor = 1;

    @Option(name = "--seed", description = "Seed of the send times", title = "seed")
    long mSeed = 1;

    @Option(
            name = "--work-ms",
            description = "Run time asked of the targets, 0 for theirs",
            title = "work-ms")
    int mWorkMillis;

    @Option(name = "--deadline-ms", description = "Deadline in milliseconds", title = "deadline-ms")
    long mDeadlineMillis = 5_000;

    @Option(name = "--not-repeatable", description = "Sends requests that run at most once")
    boolean mNotRepeatable;

    @Option(
            name = "--svg",
            description = "File for a plot of the latencies over time",
            title = "svg")
    String mSvgFile;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        List<LoadSchedule.KindRate> kindRates =
                mKinds.stream().map(LoadSchedule.KindRate::parse).toList();
        checkOptions(kindRates);
        List<LoadSchedule.ScheduledRequest> schedule =
                LoadSchedule.generate(kindRates, mSeconds, mSwingFactor, mSeed);
        Map<String, LoadStats> statsByKind = new TreeMap<>();
        kindRates.forEach(k -> statsByKind.put(k.name(), new LoadStats()));
        try (FailoverClient client = connectEntries()) {
            CountDownLatch pending = new CountDownLatch(schedule.size());
            long startNanos = System.nanoTime();
            int nextServer = 0;
            for (LoadSchedule.ScheduledRequest request : schedule) {
                sleepUntil(startNanos + request.offsetNanos());
                LoadStats stats = statsByKind.get(request.kind().name());
                client.startWithFailover(
                                nextServer++,
                                new ServerCall(
                                        "POST",
                                        "/v1/requests/" + request.kind().name(),
                                        headers(),
                                        utf8(mWorkMillis > 0 ? "work-ms=" + mWorkMillis : "bench"),
                                        mDeadlineMillis + CALL_TIMEOUT_MS))
                        .whenComplete(
                                (answer, failure) -> {
                                    long latencyNanos =
                                            System.nanoTime() - startNanos - request.offsetNanos();
                                    String outcome =
                                            failure != null
                                                    ? "broken"
                                                    : answer.header(RequestHeaders.OUTCOME);
                                    stats.record(
                                            request.offsetNanos(), latencyNanos / 1_000, outcome);
                                    pending.countDown();
                                });
            }
            if (!pending.await(mDeadlineMillis + CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                err.println(pending.getCount() + " requests are unanswered");
            }
        }
        out.println(LoadStats.formatHeader());
        statsByKind.forEach((kind, stats) -> out.println(stats.formatRow(kind)));
        if (mSvgFile != null) {
            Files.writeString(Path.of(mSvgFile), LatencyPlot.toSvg(statsByKind));
        }
        long answered = statsByKind.values().stream().mapToLong(LoadStats::totalCount).sum();
        long broken = statsByKind.values().stream().mapToLong(r -> r.count("broken")).sum();
        return answered == schedule.size() && broken == 0 ? ExitCode.OK : ExitCode.FAILED;
    }

    /**
     * Validates the options before the schedule is generated; generating a schedule that is too
     * large would not end in a reasonable time.
     */
    private void checkOptions(List<LoadSchedule.KindRate> kindRates) {
        requirePositive("--seconds", mSeconds);
        requirePositive("--swing", mSwingFactor);
        requirePositive("--deadline-ms", (double) mDeadlineMillis);
        double rate =
                kindRates.stream().mapToDouble(LoadSchedule.KindRate::requestsPerSecond).sum();
        double expected = rate * mSeconds * Math.max(1, mSwingFactor);
        if (expected > MAX_REQUESTS) {
            throw new IllegalArgumentException(
                    "--kind, --seconds and --swing ask for up to "
                            + Math.round(expected)
                            + " requests, more than "
                            + MAX_REQUESTS);
        }
    }

    private static void requirePositive(String option, double value) {
        if (!(value > 0 && Double.isFinite(value))) {
            throw new IllegalArgumentException(option + " must be above 0, not " + value);
        }
    }

    private Map<String, String> headers() {
        Map<String, String> headers = new HashMap<>();
        headers.put(RequestHeaders.TEAM, mTeam);
        headers.put(RequestHeaders.DEADLINE_MS, Long.toString(mDeadlineMillis));
        headers.put(RequestHeaders.IDEMPOTENCY_KEY, UUID.randomUUID().toString());
        if (mNotRepeatable) {
            headers.put(RequestHeaders.NOT_REPEATABLE, "true");
        }
        return headers;
    }

    private static void sleepUntil(long deadlineNanos) {
        long remainingNanos;
        while ((remainingNanos = deadlineNanos - System.nanoTime()) > 0) {
            LockSupport.parkNanos(remainingNanos);
        }
    }
}
