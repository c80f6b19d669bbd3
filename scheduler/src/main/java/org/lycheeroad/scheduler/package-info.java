/** The daemon that accepts jobs and, on one VM at a time, schedules them on workers. */
package org.lycheeroad.scheduler;
