package org.lycheeroad.coordination.jobs;

/**
 * The learned speeds of the workers in relation to their mean.
 *
 * @param uneven whether they differ enough to matter to decisions
 */
public record WorkerSpeeds(double lowest, double median, double highest, boolean uneven) {}
