package org.lycheeroad.coordination.jobs;

/**
 * The scheduler's settings.
 *
 * @param remoteFactor how many times longer a task takes on another rack than its data, or in a
 *     rack-local step that spans racks
 * @param reclaimMs the time within which an urgent job within its guarantee must start
 * @param orderExpiryMs the longest time after sending at which a start order can take effect
 * @param statusRetentionMs how long the status of an ended job must remain available
 * @param overloadTriage whether steps give way by what they are worth when there is too little room
 */
public record SchedulerSettings(
        double remoteFactor,
        long reclaimMs,
        long orderExpiryMs,
        long statusRetentionMs,
        boolean overloadTriage) {}
