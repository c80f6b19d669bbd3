/** The entry daemon: accepts work from callers and routes or places it. */
package org.lycheeroad.entry;
