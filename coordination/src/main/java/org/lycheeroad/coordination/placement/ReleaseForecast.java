package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Estimates when accelerators of a worker will be released, from estimated run times. */
final class ReleaseForecast {
    private final RunTimeEstimates mEstimates;

    ReleaseForecast(RunTimeEstimates estimates) {
        mEstimates = estimates;
    }

    /** Returns the estimated time until that many allocated accelerators have been released. */
    long millisUntilReleased(WorkerState worker, int accelerators, long nowMs) {
        List<Long> untilReleaseMs = new ArrayList<>();
        for (GangMember member : worker.mMembers) {
            untilReleaseMs.addAll(
                    Collections.nCopies(
                            Long.bitCount(member.mAcceleratorMask),
                            remainingMs(member.mGang, nowMs)));
        }
        Collections.sort(untilReleaseMs);
        return accelerators > untilReleaseMs.size()
                ? Long.MAX_VALUE
                : untilReleaseMs.get(accelerators - 1);
    }

    /** Assumes that a gang past its estimate is a straggler and will run as long again. */
    private long remainingMs(Gang gang, long nowMs) {
        long ranMs = nowMs - gang.mPhaseEnteredAtMs;
        long estimateMs = mEstimates.estimateMs(gang.mSpec);
        return ranMs < estimateMs ? estimateMs - ranMs : ranMs;
    }
}
