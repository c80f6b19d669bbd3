/** Serves callers: accepts jobs, shows their state and cancels them. */
package org.lycheeroad.scheduler.intake;
