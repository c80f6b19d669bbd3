/** The event log of an entry. */
package org.lycheeroad.transport.events;
