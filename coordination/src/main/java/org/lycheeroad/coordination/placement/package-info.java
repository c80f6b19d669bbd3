/**
 * Places gangs on the workers of one region under the guarantees of teams.
 *
 * <p>A gang is a job whose tasks run all at the same time or not at all; each task is a member on
 * its own worker. The operators' table guarantees each team a list of shapes. A guaranteed shape
 * bound to workers is a cell. A gang that its team's cells cover runs within the guarantee; any
 * other gang is a borrower and is reclaimed (asked to checkpoint, then stopped) when the team that
 * owns the guarantee needs the accelerators. A claim keeps accelerators of chosen workers free for
 * a waiting gang.
 *
 * <p>The owner is the entry that decides the region's placement; it is identified by a fencing
 * token that grows with every owner change.
 */
package org.lycheeroad.coordination.placement;
