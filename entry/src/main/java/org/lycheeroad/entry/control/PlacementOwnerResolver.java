package org.lycheeroad.entry.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;

/**
 * Finds placement owners.
 *
 * <p>The owner of the local region comes from its election, those of other regions from heartbeats
 * and the store.
 */
final class PlacementOwnerResolver implements PlacementOwnerClient.OwnerResolver {
    private final RegionId mLocalRegion;
    private final RoleService mLocalRole;
    private final RoleHolders mRoleHolders;
    private final MemberTransport mTransport;

    PlacementOwnerResolver(
            RegionId region,
            RoleService localRole,
            RoleHolders roleHolders,
            MemberTransport transport) {
        mLocalRegion = region;
        mLocalRole = localRole;
        mRoleHolders = roleHolders;
        mTransport = transport;
    }

    @Override
    public Optional<EntryId> findOwner(RegionId region) {
        return region.equals(mLocalRegion)
                ? mLocalRole.election().holder()
                : mRoleHolders.findHolder(StoreKeys.placementRoleName(region));
    }

    @Override
    public CompletableFuture<PeerFrame> sendRequest(
            EntryId to, PeerFrame.Builder frame, long timeoutMillis) {
        return mTransport.request(to, frame, timeoutMillis);
    }
}
