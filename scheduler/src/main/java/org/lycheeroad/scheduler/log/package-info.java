/** Structured logs and metrics of the daemon. */
package org.lycheeroad.scheduler.log;
