/** Keeps the newest configuration of the operators. */
package org.lycheeroad.scheduler.config;
