/** JSON messages of the platform's VM list. */
package org.lycheeroad.protocol.vm;
