/**
 * Schedules jobs of steps on workers: a state machine that does no I/O and reads no clock.
 *
 * <p>{@link org.lycheeroad.coordination.jobs.JobScheduler} is the entry point.
 */
package org.lycheeroad.coordination.jobs;
