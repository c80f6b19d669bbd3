/** The table in which operators set weights, limits and guarantees. */
package org.lycheeroad.state.table;
