/** Metrics of one entry. */
package org.lycheeroad.entry.events;
