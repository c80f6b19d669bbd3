/** Settings of the entry daemon, read from flags and environment variables. */
package org.lycheeroad.entry.settings;
