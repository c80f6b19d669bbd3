package org.lycheeroad.entry.control;

import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.roles.StoredRole;
import org.lycheeroad.state.id.EntryId;

/** Lets the placement of this entry act while the entry holds its region's placement role. */
final class PlacementRoleListener implements RoleService.Listener {
    private final MemberIdentity mSelf;
    private final String mRole;
    private final PlacementOwnership mOwnership;
    private final RoleHolders mRoleHolders;
    private final ControlListenerRegistry mListeners;
    private final RoleNotifier mNotifier;

    PlacementRoleListener(
            MemberIdentity self,
            PlacementOwnership permit,
            RoleHolders holders,
            ControlListenerRegistry listeners,
            RoleNotifier notices) {
        mSelf = self;
        mRole = StoreKeys.placementRoleName(self.region());
        mOwnership = permit;
        mRoleHolders = holders;
        mListeners = listeners;
        mNotifier = notices;
    }

    @Override
    public void onGained(long token) {
        mOwnership.onGained(token, ControlLoop.nowMillis());
        mRoleHolders.observe(mRole, new StoredRole(mSelf.id(), mSelf.instance(), token));
        mNotifier.recordGained(mRole, token);
        mListeners.notifyListeners(l -> l.onPlacementRoleGained(token));
        mNotifier.announceToPeers();
    }

    @Override
    public void onLost(long token, String reason) {
        mOwnership.onLost();
        mNotifier.recordLost(mRole, token, reason);
        mListeners.notifyListeners(ControlListener::onPlacementRoleLost);
    }

    @Override
    public void onAnnouncementNeeded() {
        mNotifier.announceToPeers();
    }

    @Override
    public void onHandoverOffer(EntryId to, String role, long token) {
        mNotifier.offerHandover(to, role, token);
    }
}
