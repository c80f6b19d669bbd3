package org.lycheeroad.entry.control;

import org.lycheeroad.state.id.EntryId;

/** Makes this entry allocate the shares of the rate limits while it holds the limits role. */
final class LimitsRoleListener implements RoleService.Listener {
    private final LimitService mLimitService;
    private final RoleNotifier mNotifier;

    LimitsRoleListener(LimitService limitService, RoleNotifier notifier) {
        mLimitService = limitService;
        mNotifier = notifier;
    }

    @Override
    public void onGained(long token) {
        mNotifier.recordGained(ControlRoles.LIMITS_ROLE, token);
        mLimitService.onRoleGained(token);
        mNotifier.announceToPeers();
    }

    @Override
    public void onLost(long token, String reason) {
        mNotifier.recordLost(ControlRoles.LIMITS_ROLE, token, reason);
        mLimitService.onRoleLost();
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
