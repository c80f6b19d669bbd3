/** The election of the daemon that schedules (the owner), and the work of the owner. */
package org.lycheeroad.scheduler.owner;
