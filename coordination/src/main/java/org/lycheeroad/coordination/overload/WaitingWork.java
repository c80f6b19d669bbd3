package org.lycheeroad.coordination.overload;

/**
 * Work that waits for room.
 *
 * @param roomMs the room that the work needs: the share of the cluster that it occupies, times how
 *     long it does, in milliseconds
 * @param durationMs the time from its start to its end
 * @param weight what callers lose if the work is of no use, in relation to other work
 * @param latestEndMs the end until which the work is in time
 * @param lastUsefulEndMs the end until which the work is still of use
 */
public record WaitingWork(
        double roomMs, long durationMs, double weight, long latestEndMs, long lastUsefulEndMs) {
    /** Returns what the work is worth to callers for the room that it needs. */
    double density() {
        return weight / Math.max(1, roomMs);
    }
}
