package org.lycheeroad.cli;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** The outcomes and latencies of one kind; latencies run from the planned send time. */
final class LoadStats {
    private static final long MAX_LATENCY_MICROS = 3_600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    static final List<String> OUTCOMES = List.of("done", "failed", "not-run", "unknown", "broken");

    private final Histogram mOverall = new Histogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final List<Histogram> mPerSecond = new ArrayList<>();
    private final Map<String, Long> mOutcomes = new TreeMap<>();

    /** Adds one answer; only the latency of done requests is recorded. */
    synchronized void record(long plannedNanos, long latencyMicros, String outcome) {
        mOutcomes.merge(OUTCOMES.contains(outcome) ? outcome : "broken", 1L, Long::sum);
        if (!outcome.equals("done")) {
            return;
        }
        mOverall.recordValue(Math.min(latencyMicros, MAX_LATENCY_MICROS));
        int second = (int) (plannedNanos / 1_000_000_000L);
        while (mPerSecond.size() <= second) {
            mPerSecond.add(new Histogram(MAX_LATENCY_MICROS, 2));
        }
        mPerSecond.get(second).recordValue(Math.min(latencyMicros, MAX_LATENCY_MICROS));
    }

    synchronized long count(String outcome) {
        return mOutcomes.getOrDefault(outcome, 0L);
    }

    synchronized long total() {
        return mOutcomes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns a latency percentile of each second in milliseconds. */
    synchronized List<Double> latencyPerSecondMs(double percentile) {
        return mPerSecond.stream().map(h -> h.getValueAtPercentile(percentile) / 1e3).toList();
    }

    /** Returns a row of the table for {@link #formatHeader}. */
    synchronized String formatRow(String kind) {
        StringBuilder row = new StringBuilder(String.format(Locale.ROOT, "%-16s", kind));
        row.append(String.format(Locale.ROOT, "%9d", total()));
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
