/** Event log, application log and metrics of the daemon. */
package org.lycheeroad.scheduler.log;
