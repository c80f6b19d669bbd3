/** Hybrid logical clocks and timestamps. */
package org.lycheeroad.state.time;
