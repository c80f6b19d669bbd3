package org.lycheeroad.coordination.routing;

/**
 * Decides whether a target has a slot for a request, given loads that peers report late.
 *
 * <p>Long work leaves some slots of each target to short work, so that a short check never waits
 * for a render to end. It also takes free slots only a part at a time: what several entries send at
 * once to a target that looks free cannot be undone for as long as it runs.
 */
final class SlotAdmission {
    /** Heartbeat interval and delivery. */
    static final long PEER_REPORT_DELAY_MICROS = 550_000;

    /** Part of the slots of a target that long work leaves free: 2 of 8. */
    private static final double RESERVED_FRACTION = 0.25;

    private static final double CLAIMING_FRACTION = 0.25;

    private final int mEntryCount;

    SlotAdmission(int entries) {
        mEntryCount = entries;
    }

    boolean hasFreeConnection(TargetState target) {
        return target.heldCount() < connectionShare(target);
    }

    /**
     * Tells whether a request may hold a connection while its claim is made.
     *
     * <p>With a slow store, such requests would otherwise hold all connections without using them.
     * A quarter of 8 connections to each of 30 targets still starts 12,000 requests a second with a
     * store that answers in 5 ms.
     */
    boolean hasFreeConnectionForClaim(TargetState target) {
        return target.claimingCount() < Math.max(1, connectionShare(target) * CLAIMING_FRACTION);
    }

    /** Tells whether a short request may start now. */
    boolean admitsShort(TargetState target, int load, long now) {
        double slots = target.mInfo.slots() * target.mHealth.slowStartFraction(now);
        return load < slots
                || (target.heldCount() < evenSlotShare(target) && hasEndedSlowStart(target, now));
    }

    /**
     * Tells whether a long request may start now.
     *
     * @param waitedLong whether it waited so long, while short work held most slots, that it may
     *     take a slot reserved for short work
     */
    boolean admitsLong(TargetState target, int load, boolean waitedLong, long now) {
        double slots = target.mInfo.slots() * target.mHealth.slowStartFraction(now);
        double open = waitedLong ? slots : slots - reservedSlots(target);
        double free = open - load;
        // Twice the even part, as seldom all entries have long work at the same time.
        double step = Math.max(1, Math.ceil(2 * free / mEntryCount));
        return free > 0 && target.longStartsInWindow(now) < step;
    }

    private static double reservedSlots(TargetState target) {
        return Math.ceil(target.mInfo.slots() * RESERVED_FRACTION);
    }

    private int connectionShare(TargetState target) {
        return Math.max(1, target.mInfo.connections() / mEntryCount);
    }

    private int evenSlotShare(TargetState target) {
        return target.mInfo.slots() / mEntryCount;
    }

    private static boolean hasEndedSlowStart(TargetState target, long now) {
        return target.mHealth.slowStartFraction(now) >= 1;
    }
}
