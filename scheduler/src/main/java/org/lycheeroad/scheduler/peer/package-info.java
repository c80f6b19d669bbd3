/** Calls between daemons. */
package org.lycheeroad.scheduler.peer;
