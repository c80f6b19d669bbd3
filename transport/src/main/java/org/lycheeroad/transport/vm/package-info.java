/** Client for the platform's VM list. */
package org.lycheeroad.transport.vm;
