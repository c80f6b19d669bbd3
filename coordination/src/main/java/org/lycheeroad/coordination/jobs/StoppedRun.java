package org.lycheeroad.coordination.jobs;

/**
 * A run that was stopped, for the metrics.
 *
 * @param lostCoreMs the work thrown away, in core-milliseconds; an accelerator counts as 8 cores
 */
public record StoppedRun(StopReason reason, int priority, double lostCoreMs) {}
