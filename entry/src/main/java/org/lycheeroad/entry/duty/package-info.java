/** The service that runs the placement core of a region, and the poller of the VM list. */
package org.lycheeroad.entry.duty;
