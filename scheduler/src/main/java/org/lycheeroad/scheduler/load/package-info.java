/** What a daemon knows of the load, and the refusal of jobs because of it. */
package org.lycheeroad.scheduler.load;
