package org.lycheeroad.benchmarks.routing;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.lycheeroad.coordination.routing.RequestOutcome;

/**
 * The measurements of one simulation run.
 *
 * <p>A request that got no answer or an error is recorded with its full time limit as latency.
 */
final class Results {
    private static final long MAX_LATENCY_MICROS = 120_000_000;

    private static final class Row {
        final Histogram mLatencyMicros = new Histogram(MAX_LATENCY_MICROS, 3);
        final Histogram mAddedMicros = new Histogram(MAX_LATENCY_MICROS, 3);
        final Histogram mShedAfterMicros = new Histogram(MAX_LATENCY_MICROS, 3);
        long mAnswered;
        long mErrors;
        long mUnanswered;
    }

    private final Map<String, Row> mRows = new TreeMap<>();
    long mCrossRegionAttempts;
    long mAttempts;
    long mRefusals;
    double mUsefulServiceMicros;
    double mBusyMicros;

    void answered(Arrival arrival, long nowMicros) {
        Row row = row(arrival);
        row.mAnswered++;
        row.mLatencyMicros.recordValue(nowMicros - arrival.atMicros());
        // A target that returns errors can answer before the service time has passed.
        long addedMicros = nowMicros - arrival.atMicros() - arrival.serviceMicros();
        row.mAddedMicros.recordValue(Math.max(0, addedMicros));
    }

    void recordErrorAnswer(Arrival arrival) {
        Row row = row(arrival);
        row.mErrors++;
        recordTimeLimit(row, arrival);
    }

    /**
     * Records a request without an answer.
     *
     * <p>It counts as shed if it was not run and its caller can still repeat it before the
     * deadline.
     */
    void recordUnanswered(Arrival arrival, RequestOutcome outcome, long nowMicros) {
        Row row = row(arrival);
        if (outcome == RequestOutcome.NOT_RUN && nowMicros < arrival.deadlineMicros()) {
            row.mShedAfterMicros.recordValue(nowMicros - arrival.atMicros());
        } else {
            row.mUnanswered++;
        }
        recordTimeLimit(row, arrival);
    }

    private static void recordTimeLimit(Row row, Arrival arrival) {
        long timeLimitMicros = arrival.deadlineMicros() - arrival.atMicros();
        row.mLatencyMicros.recordValue(timeLimitMicros);
        row.mAddedMicros.recordValue(timeLimitMicros);
    }

    double p99Millis(String kind) {
        return mRows.get(kind).mLatencyMicros.getValueAtPercentile(99) / 1e3;
    }

    /** Returns the p99 of the latency without the service time, in milliseconds. */
    double addedP99Millis(String kind) {
        return mRows.get(kind).mAddedMicros.getValueAtPercentile(99) / 1e3;
    }

    long answered() {
        return mRows.values().stream().mapToLong(r -> r.mAnswered).sum();
    }

    /** Returns the rows of a Markdown table, one per request kind. */
    String formatRows(String scenario, String router) {
        StringBuilder rows = new StringBuilder();
        mRows.forEach(
                (kind, row) ->
                        rows.append(
                                String.format(
                                        Locale.ROOT,
                                        "| %s | %s | %s | %.0f | %.0f | %.0f"
                                                + " | %d | %d | %d | %d | %.0f |%n",
                                        scenario,
                                        router,
                                        kind,
                                        row.mLatencyMicros.getValueAtPercentile(50) / 1e3,
                                        row.mLatencyMicros.getValueAtPercentile(99) / 1e3,
                                        row.mLatencyMicros.getValueAtPercentile(99.9) / 1e3,
                                        row.mAnswered,
                                        row.mErrors,
                                        row.mUnanswered,
                                        row.mShedAfterMicros.getTotalCount(),
                                        row.mShedAfterMicros.getValueAtPercentile(99) / 1e3)));
        return rows.toString();
    }

    private Row row(Arrival arrival) {
        return mRows.computeIfAbsent(arrival.kind().value(), k -> new Row());
    }
}
