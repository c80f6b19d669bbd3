/**
 * Schedules the tasks of jobs on workers. The package is a state machine without I/O; the caller
 * passes in the time.
 *
 * <p>{@link org.lycheeroad.coordination.jobs.JobScheduler} is the entry point.
 */
package org.lycheeroad.coordination.jobs;
