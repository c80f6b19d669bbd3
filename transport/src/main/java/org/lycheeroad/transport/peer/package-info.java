/** Connections between entries. */
package org.lycheeroad.transport.peer;
