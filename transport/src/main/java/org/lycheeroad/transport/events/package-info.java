/** The log of numbered events. */
package org.lycheeroad.transport.events;
