/** Clients for the platform's key-value store. */
package org.lycheeroad.transport.store;
