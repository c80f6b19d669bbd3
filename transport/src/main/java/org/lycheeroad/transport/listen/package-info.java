/** Binding of listening sockets, shared by the servers of the other packages. */
package org.lycheeroad.transport.listen;
