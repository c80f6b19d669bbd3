/**
 * The state that an entry shares with its peers and the store: membership, roles, table, jobs,
 * claims and rate limits.
 *
 * <p>{@link org.lycheeroad.entry.control.StoreControlPlane} creates and connects the components.
 * Their mutable state is confined to the control thread, that of {@code ControlLoop}.
 *
 * <ul>
 *   <li>Between entries: {@code PeerFrameDispatcher} dispatches frames to the services. {@code
 *       HeartbeatSender} and {@code HeartbeatReceiver} carry versions, loads, votes and holders of
 *       roles; {@code MembershipService} tracks which entries are live.
 *   <li>Roles: {@code RoleService} runs one election with the store. {@code PlacementRoleListener}
 *       and {@code LimitsRoleListener} apply gains and losses of the roles; {@code
 *       PlacementOwnership} is checked before each action of a placement owner.
 *   <li>Store: {@code StoreWatcher} reads and watches keys, and {@code WatchedKeyDispatcher}
 *       dispatches their changes to the services; {@code StoreProbe} detects whether the store
 *       responds.
 *   <li>Services: {@code TableService}, {@code JobStore}, {@code ClaimService}, {@code
 *       LimitService}, and {@code PlacementOwnerClient} for urgent jobs and cancellations.
 * </ul>
 */
package org.lycheeroad.entry.control;
