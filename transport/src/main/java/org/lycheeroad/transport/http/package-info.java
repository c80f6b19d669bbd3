/** HTTP servers and an HTTP client on Netty's codec. */
package org.lycheeroad.transport.http;
