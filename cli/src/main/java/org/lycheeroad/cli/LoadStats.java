package org.lycheeroad.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/**
 * Outcome counts and latency histograms of one kind of request; latencies are measured from the
 * scheduled send time.
 */
final class LoadStats {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    static final List<String> OUTCOMES = List.of("done", "failed", "not-run", "unknown", "broken");

    private final Histogram mOverall = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final List<Histogram> mPerSecond = new ArrayList<>();
    private final Map<String, Long> mOutcomeCounts = new TreeMap<>();

    /**
     * Records one response. An outcome that is not in {@link #OUTCOMES} counts as "broken"; latency
     * is recorded only for the outcome "done".
     */
    synchronized void record(long scheduledNanos, long latencyMicros, String outcome) {
        mOutcomeCounts.merge(OUTCOMES.contains(outcome) ? outcome : "broken", 1L, Long::sum);
        if (!outcome.equals("done")) {
            return;
        }
        mOverall.recordValue(Math.min(latencyMicros, MAX_LATENCY_MICROS));
        int second = (int) (scheduledNanos / 1_000_000_000L);
        while (mPerSecond.size() <= second) {
            mPerSecond.add(new Histogram(MAX_LATENCY_MICROS, 2));
        }
        mPerSecond.get(second).recordValue(Math.min(latencyMicros, MAX_LATENCY_MICROS));
    }

    synchronized long count(String outcome) {
        return mOutcomeCounts.getOrDefault(outcome, 0L);
    }

    synchronized long totalCount() {
        return mOutcomeCounts.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns the given latency percentile for each second of the load, in milliseconds. */
    synchronized List<Double> latencyPerSecondMs(double percentile) {
        return mPerSecond.stream().map(h -> h.getValueAtPercentile(percentile) / 1e3).toList();
    }

    /** Returns the table row of this kind, with the columns of {@link #formatHeader}. */
    synchronized String formatRow(String kind) {
        StringBuilder row = new StringBuilder(String.format(Locale.ROOT, "%-16s", kind));
        row.append(String.format(Locale.ROOT, "%9d", totalCount()));
        OUTCOMES.forEach(o -> row.append(String.format(Locale.ROOT, "%9d", count(o))));
        for (double percentile : new double[] {50, 90, 99, 99.9, 100}) {
            double millis = mOverall.getValueAtPercentile(percentile) / 1e3;
            row.append(String.format(Locale.ROOT, "%9.1f", millis));
        }
        return row.toString();
    }

    static String formatHeader() {
        StringBuilder header = new StringBuilder(String.format("%-16s%9s", "kind", "sent"));
        OUTCOMES.forEach(o -> header.append(String.format("%9s", o)));
        for (String column : List.of("p50 ms", "p90", "p99", "p99.9", "max")) {
            header.append(String.format("%9s", column));
        }
        return header.toString();
    }
}
