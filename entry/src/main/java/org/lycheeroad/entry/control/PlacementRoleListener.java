package org.lycheeroad.entry.control;

import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.roles.StoredRole;
import org.lycheeroad.state.id.EntryId;

/** Activates this entry's placement service while it holds its region's placement role. */
final class PlacementRoleListener implements RoleService.Listener {
    private final MemberIdentity mSelf;
    private final String mRoleName;
    private final PlacementOwnership mOwnership;
    private final RoleHolders mRoleHolders;
    private final ControlListenerRegistry mListeners;
    private final RoleNotifier mNotifier;

    PlacementRoleListener(
            MemberIdentity self,
            PlacementOwnership ownership,
            RoleHolders roleHolders,
            ControlListenerRegistry listeners,
            RoleNotifier notifier) {
        mSelf = self;
        mRoleName = StoreKeys.placementRoleName(self.region());
        mOwnership = ownership;
        mRoleHolders = roleHolders;
        mListeners = listeners;
        mNotifier = notifier;
    }

    @Override
    public void onGained(long token) {
        mOwnership.onGained(token, ControlLoop.nowMillis());
        mRoleHolders.observe(mRoleName, new StoredRole(mSelf.id(), mSelf.instance(), token));
        mNotifier.recordGained(mRoleName, token);
        mListeners.notifyListeners(l -> l.onPlacementRoleGained(token));
        mNotifier.announceToPeers();
    }

    @Override
    public void onLost(long token, String reason) {
        mOwnership.onLost();
        mNotifier.recordLost(mRoleName, token, reason);
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
