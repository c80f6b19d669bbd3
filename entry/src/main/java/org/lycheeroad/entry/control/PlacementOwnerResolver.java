package org.lycheeroad.entry.control;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;

/**
 * Finds placement owners: the election knows that of the own region, heartbeats and the store name
 * those of others.
 */
final class PlacementOwnerResolver implements PlacementOwnerClient.OwnerResolver {
    private final RegionId mLocalRegion;
    private final RoleService mLocalRole;
    private final RoleHolders mRoleHolders;
    private final MemberTransport mTransport;

    PlacementOwnerResolver(
            RegionId region, RoleService ownRegion, RoleHolders holders, MemberTransport links) {
        mLocalRegion = region;
        mLocalRole = ownRegion;
        mRoleHolders = holders;
        mTransport = links;
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
