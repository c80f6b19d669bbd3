package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** Estimates when the gangs on a worker end, from learned run times. */
final class ReleaseForecast {
    private final RunTimeEstimates mEstimates;

    ReleaseForecast(RunTimeEstimates estimates) {
        mEstimates = estimates;
    }

    /** Returns the milliseconds until so many held accelerators are likely to be released. */
    long millisUntilReleased(WorkerState worker, int accelerators, long now) {
        List<Long> ends = new ArrayList<>();
        for (GangMember member : worker.mMembers) {
            ends.addAll(
                    Collections.nCopies(
                            Long.bitCount(member.mAcceleratorMask),
                            remainingMs(member.mGang, now)));
        }
        Collections.sort(ends);
        return accelerators > ends.size() ? Long.MAX_VALUE : ends.get(accelerators - 1);
    }

    /** A gang past its estimate is taken to run as long again, as stragglers do. */
    private long remainingMs(Gang gang, long now) {
        long ran = now - gang.mPhaseEnteredAtMs;
        long estimate = mEstimates.estimateMs(gang.mSpec);
        return ran < estimate ? estimate - ran : ran;
    }
}
