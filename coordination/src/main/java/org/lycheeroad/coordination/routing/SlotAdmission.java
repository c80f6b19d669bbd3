package org.lycheeroad.coordination.routing;

/**
 * Decides whether a target has a free slot for a request, although the other entries' loads are
 * known only with a delay.
 *
 * <p>Some slots of each target are reserved for short requests, so that a short check never waits
 * for a render to end. In addition, an entry fills free slots with long requests only gradually: if
 * several entries sent long requests to the same idle target at once, it would be overloaded until
 * these end.
 */
final class SlotAdmission {
    /** The delay of the other entries' load reports: the heartbeat interval plus transmission. */
    static final long PEER_REPORT_DELAY_MICROS = 550_000;

    /** The fraction of the slots of a target that is reserved for short requests: 2 of 8. */
    private static final double RESERVED_FRACTION = 0.25;

    /** The fraction of the connections that requests with a pending claim may hold. */
    private static final double CLAIMING_FRACTION = 0.25;

    private final int mEntryCount;

    SlotAdmission(int entryCount) {
        mEntryCount = entryCount;
    }

    boolean hasFreeConnection(TargetState target) {
        return target.heldCount() < connectionShare(target);
    }

    /**
     * Returns whether a request may hold a connection while its claim is pending.
     *
     * <p>With a slow store, such requests would otherwise hold all connections without using them.
     * With 8 connections to each of 30 targets and a store that answers within 5 ms, a quarter of
     * the connections still allows 12,000 requests per second.
     */
    boolean hasFreeConnectionForClaim(TargetState target) {
        return target.claimingCount() < Math.max(1, connectionShare(target) * CLAIMING_FRACTION);
    }

    /** Returns whether a short request may start now. */
    boolean admitsShort(TargetState target, int load, long nowMicros) {
        double slots = target.mInfo.slots() * target.mHealth.slowStartFraction(nowMicros);
        return load < slots
                || (target.heldCount() < evenSlotShare(target)
                        && hasEndedSlowStart(target, nowMicros));
    }

    /**
     * Returns whether a long request may start now.
     *
     * @param mayUseReserved whether the request may use slots reserved for short requests, because
     *     it has waited for long while short requests used most slots
     */
    boolean admitsLong(TargetState target, int load, boolean mayUseReserved, long nowMicros) {
        double slots = target.mInfo.slots() * target.mHealth.slowStartFraction(nowMicros);
        double usableSlots = mayUseReserved ? slots : slots - reservedSlots(target);
        double freeSlots = usableSlots - load;
        // Twice the even share, because seldom all entries have long requests at the same time.
        double maxStartsInWindow = Math.max(1, Math.ceil(2 * freeSlots / mEntryCount));
        return freeSlots > 0 && target.longStartsInWindow(nowMicros) < maxStartsInWindow;
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

    private static boolean hasEndedSlowStart(TargetState target, long nowMicros) {
        return target.mHealth.slowStartFraction(nowMicros) >= 1;
    }
}
