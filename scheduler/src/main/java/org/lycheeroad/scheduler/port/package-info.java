/** What the scheduler needs from the platform that it runs on. */
package org.lycheeroad.scheduler.port;
