/** Rate limits that apply to all entries together, and their division into shares. */
package org.lycheeroad.coordination.limits;
