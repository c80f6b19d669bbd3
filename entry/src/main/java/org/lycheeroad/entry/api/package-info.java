/** HTTP APIs for callers and operators. */
package org.lycheeroad.entry.api;
