/**
 * What an entry shares with its peers and the store: membership, roles, table, jobs, claims,
 * limits.
 *
 * <p>{@link org.lycheeroad.entry.control.StoreControlPlane} builds the parts and holds them
 * together. All of their state lives on the thread of {@code ControlLoop}, which also ticks.
 *
 * <ul>
 *   <li>Between entries: {@code PeerFrameDispatcher} hands each frame to its service. {@code
 *       HeartbeatSender} and {@code HeartbeatReceiver} carry versions, loads, votes and holders of
 *       roles; {@code MembershipService} says which entries are heard.
 *   <li>Roles: {@code RoleService} runs one election against the store. {@code
 *       PlacementRoleListener} and {@code LimitsRoleListener} say what the role means; {@code
 *       PlacementOwnership} is asked before each act of a placement owner.
 *   <li>Store: {@code StoreWatcher} follows the watched keys and {@code WatchedKeyDispatcher} hands
 *       them to the services; {@code StoreProbe} tells whether the store answers.
 *   <li>Services: {@code TableService}, {@code JobStore}, {@code ClaimService}, {@code
 *       LimitService}, and {@code PlacementOwnerClient} for urgent jobs and cancellations.
 * </ul>
 */
package org.lycheeroad.entry.control;
