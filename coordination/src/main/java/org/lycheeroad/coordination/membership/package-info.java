/** Tracking of the entries that are known and live. */
package org.lycheeroad.coordination.membership;
