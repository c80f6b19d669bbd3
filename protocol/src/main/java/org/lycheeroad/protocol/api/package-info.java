/** JSON messages and header names of the callers' HTTP API. */
package org.lycheeroad.protocol.api;
