/** HTTP client that streams requests to targets. */
package org.lycheeroad.transport.target;
