package org.lycheeroad.coordination.overload;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the waiting work that has to give way because there is too little room for all of it.
 *
 * <p>Work is planned by its ends. Where the work up to an end exceeds the room until then, the work
 * that is worth least for the room that it needs gives way, as in best-effort scheduling by value
 * density. What can no longer end in time is planned by its last useful end, at which it is worth
 * less. With enough room, nothing gives way.
 */
public final class OverloadPlanner {
    /** What work is worth that ends late but usefully, in relation to work in time. */
    private static final double LATE_VALUE = 0.3;

    private OverloadPlanner() {}

    /** Returns a verdict for each piece of waiting work, in the order of the list. */
    public static List<Verdict> plan(List<WaitingWork> waiting, RoomForecast room, long nowMs) {
        List<Verdict> verdicts = new ArrayList<>();
        for (WaitingWork work : waiting) {
            verdicts.add(bestVerdict(work, nowMs));
        }
        lowerUntilFeasible(waiting, verdicts, Verdict.LATE, room, nowMs);
        lowerUntilFeasible(waiting, verdicts, Verdict.USELESS, room, nowMs);
        return verdicts;
    }

    private static Verdict bestVerdict(WaitingWork work, long nowMs) {
        long endMs = nowMs + work.durationMs();
        if (endMs <= work.latestEndMs()) {
            return Verdict.IN_TIME;
        }
        return endMs <= work.lastUsefulEndMs() ? Verdict.LATE : Verdict.USELESS;
    }

    /**
     * Lowers the verdicts of the work that is worth least until the rest can end as planned.
     *
     * @param lowered the verdict of work in time that gives way; late work becomes useless
     */
    private static void lowerUntilFeasible(
            List<WaitingWork> waiting,
            List<Verdict> verdicts,
            Verdict lowered,
            RoomForecast room,
            long nowMs) {
        List<Integer> byEnd = new ArrayList<>();
        for (int i = 0; i < waiting.size(); i++) {
            if (verdicts.get(i) != Verdict.USELESS) {
                byEnd.add(i);
            }
        }
        long[] endMs = new long[waiting.size()];
        double[] density = new double[waiting.size()];
        for (int i : byEnd) {
            boolean late = verdicts.get(i) == Verdict.LATE;
            WaitingWork work = waiting.get(i);
            endMs[i] = late ? work.lastUsefulEndMs() : work.latestEndMs();
            density[i] = work.density() * (late ? LATE_VALUE : 1);
        }
        byEnd.sort(Comparator.comparingLong(i -> endMs[i]));
        List<Integer> planned = new ArrayList<>();
        double plannedMs = 0;
        for (int i : byEnd) {
            planned.add(i);
            plannedMs += waiting.get(i).roomMs();
            double roomMs = room.roomMs(endMs[i] - nowMs);
            while (plannedMs > roomMs && !planned.isEmpty()) {
                int cheapest = cheapest(planned, density);
                planned.remove((Integer) cheapest);
                plannedMs -= waiting.get(cheapest).roomMs();
                verdicts.set(
                        cheapest,
                        verdicts.get(cheapest) == Verdict.LATE ? Verdict.USELESS : lowered);
            }
        }
    }

    private static int cheapest(List<Integer> indices, double[] density) {
        int cheapest = indices.get(0);
        for (int i : indices) {
            if (density[i] < density[cheapest]) {
                cheapest = i;
            }
        }
        return cheapest;
    }
}
