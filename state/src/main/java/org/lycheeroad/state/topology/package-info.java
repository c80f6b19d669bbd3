/** Workers, targets and entries, with their locations and addresses. */
package org.lycheeroad.state.topology;
