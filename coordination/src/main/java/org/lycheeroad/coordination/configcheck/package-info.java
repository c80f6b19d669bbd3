/**
 * Checks a configuration before operators send it. The package does no I/O.
 *
 * <p>{@link org.lycheeroad.coordination.configcheck.ConfigChecker} finds mistakes in one
 * configuration, {@link org.lycheeroad.coordination.configcheck.ConfigDiff} what differs between
 * two.
 */
package org.lycheeroad.coordination.configcheck;
