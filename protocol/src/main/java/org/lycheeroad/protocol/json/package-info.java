/** JSON serialization of messages and of the state module's values. */
package org.lycheeroad.protocol.json;
