/** The interfaces through which the scheduler uses the platform that it runs on. */
package org.lycheeroad.scheduler.port;
