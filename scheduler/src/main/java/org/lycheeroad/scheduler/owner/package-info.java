/** The election of the scheduling owner, and what the owner does. */
package org.lycheeroad.scheduler.owner;
