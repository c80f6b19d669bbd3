package org.lycheeroad.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.TargetId;

/** Sums up the loads at each target that the other entries have last reported. */
final class PeerLoads {
    /**
     * Reports come with the heartbeats, every 500 ms; an entry that missed several is likely down.
     */
    private static final long MAX_REPORT_AGE_MICROS = 3_000_000;

    private final Map<EntryId, Report> mReports = new HashMap<>();
    private final Map<TargetId, Integer> mTotals = new HashMap<>();

    void update(EntryId entry, Map<TargetId, Integer> inFlight, long nowMicros) {
        mReports.put(entry, new Report(Map.copyOf(inFlight), nowMicros));
        recomputeTotals();
    }

    void removeStale(long nowMicros) {
        if (mReports.values()
                .removeIf(r -> nowMicros - r.receivedMicros() > MAX_REPORT_AGE_MICROS)) {
            recomputeTotals();
        }
    }

    int loadAt(TargetId target) {
        return mTotals.getOrDefault(target, 0);
    }

    private void recomputeTotals() {
        mTotals.clear();
        for (Report report : mReports.values()) {
            report.inFlight().forEach((target, n) -> mTotals.merge(target, n, Integer::sum));
        }
    }

    private record Report(Map<TargetId, Integer> inFlight, long receivedMicros) {}
}
