/** Single-threaded message loops with bounded queues. */
package org.lycheeroad.transport.duty;
