package org.lycheeroad.coordination.jobs;

/**
 * Bounds of the deployment that the scheduler keeps.
 *
 * @param remoteFactor how much longer tasks run away from their data or across racks
 * @param reclaimMs how soon an urgent job within its guarantee must run, in milliseconds
 * @param orderLapseMs how long after it was sent a start can take effect at most, in milliseconds
 * @param statusKeepMs how long ended jobs are shown, in milliseconds
 */
public record SchedulerSettings(
        double remoteFactor, long reclaimMs, long orderExpiryMs, long statusRetentionMs) {}
