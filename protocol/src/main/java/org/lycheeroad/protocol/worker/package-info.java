/** JSON messages between the placement owner and workers. */
package org.lycheeroad.protocol.worker;
