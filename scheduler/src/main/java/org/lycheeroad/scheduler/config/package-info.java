/** Caches the newest version of the operators' configuration. */
package org.lycheeroad.scheduler.config;
