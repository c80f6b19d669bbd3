package org.lycheeroad.benchmarks.routing;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.lycheeroad.coordination.routing.RequestOutcome;

/** Counts of one run; what is not answered well counts with its whole time limit. */
final class Results {
    private static final long HIGHEST_MICROS = 120_000_000;

    private static final class Row {
        final Histogram mMicros = new Histogram(HIGHEST_MICROS, 3);
        final Histogram mAddedMicros = new Histogram(HIGHEST_MICROS, 3);
        final Histogram mShedAfterMicros = new Histogram(HIGHEST_MICROS, 3);
        long mAnswered;
        long mErrors;
        long mUnanswered;
    }

    private final Map<String, Row> mRows = new TreeMap<>();
    long mCrossed;
    long mAttempts;
    long mRefused;
    double mUsefulMicros;
    double mBusyMicros;

    void answered(Arrival arrival, long now) {
        Row row = row(arrival);
        row.mAnswered++;
        row.mMicros.recordValue(now - arrival.atMicros());
        // A target with an injected fault can answer sooner than the work would take.
        long added = now - arrival.atMicros() - arrival.serviceMicros();
        row.mAddedMicros.recordValue(Math.max(0, added));
    }

    void errorAnswer(Arrival arrival) {
        Row row = row(arrival);
        row.mErrors++;
        recordWholeLimit(row, arrival);
    }

    /** Counts a request without an answer, as shed if its caller could still repeat it in time. */
    void unanswered(Arrival arrival, RequestOutcome outcome, long now) {
        Row row = row(arrival);
        if (outcome == RequestOutcome.NOT_RUN && now < arrival.deadlineMicros()) {
            row.mShedAfterMicros.recordValue(now - arrival.atMicros());
        } else {
            row.mUnanswered++;
        }
        recordWholeLimit(row, arrival);
    }

    private static void recordWholeLimit(Row row, Arrival arrival) {
        long limit = arrival.deadlineMicros() - arrival.atMicros();
        row.mMicros.recordValue(limit);
        row.mAddedMicros.recordValue(limit);
    }

    double p99(String kind) {
        return mRows.get(kind).mMicros.getValueAtPercentile(99) / 1e3;
    }

    /** Returns the p99 in milliseconds of the time beyond the service time of the work. */
    double addedP99(String kind) {
        return mRows.get(kind).mAddedMicros.getValueAtPercentile(99) / 1e3;
    }

    long answered() {
        return mRows.values().stream().mapToLong(r -> r.mAnswered).sum();
    }

    /** Returns lines of a Markdown table. */
    String lines(String scenario, String router) {
        StringBuilder lines = new StringBuilder();
        mRows.forEach(
                (kind, row) ->
                        lines.append(
                                String.format(
                                        Locale.ROOT,
                                        "| %s | %s | %s | %.0f | %.0f | %.0f"
                                                + " | %d | %d | %d | %d | %.0f |%n",
                                        scenario,
                                        router,
                                        kind,
                                        row.mMicros.getValueAtPercentile(50) / 1e3,
                                        row.mMicros.getValueAtPercentile(99) / 1e3,
                                        row.mMicros.getValueAtPercentile(99.9) / 1e3,
                                        row.mAnswered,
                                        row.mErrors,
                                        row.mUnanswered,
                                        row.mShedAfterMicros.getTotalCount(),
                                        row.mShedAfterMicros.getValueAtPercentile(99) / 1e3)));
        return lines.toString();
    }

    private Row row(Arrival arrival) {
        return mRows.computeIfAbsent(arrival.kind().value(), k -> new Row());
    }
}
