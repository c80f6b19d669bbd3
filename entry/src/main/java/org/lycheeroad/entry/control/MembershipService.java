package org.lycheeroad.entry.control;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipCore;
import org.lycheeroad.coordination.membership.MembershipEvent;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/** Tracks the other entries and tells the elections who votes; runs on the control thread. */
final class MembershipService {
    private final MemberIdentity mSelf;
    private final Set<HostPort> mConfiguredPeers;
    private final MembershipCore mTracker;
    private final ControlRoles mRoles;
    private final ControlListenerRegistry mListeners;
    private final Set<EntryId> mReportedLive = new HashSet<>();
    private boolean mDraining;

    MembershipService(
            MemberIdentity self,
            Collection<HostPort> peers,
            MembershipCore members,
            ControlRoles roles,
            ControlListenerRegistry listeners) {
        mSelf = self;
        mConfiguredPeers = new HashSet<>(peers);
        mConfiguredPeers.remove(self.address());
        mTracker = members;
        mRoles = roles;
        mListeners = listeners;
    }

    /** Takes in an event, reports members that came or went, and updates the elections. */
    void handle(MembershipEvent event) {
        long now = ControlLoop.nowMillis();
        for (EntryId replaced : mTracker.handle(event, now)) {
            mRoles.handle(new RoleEvent.PeerReplaced(replaced));
            mListeners.recordEvent(EventCode.MEMBER_REPLACED, replaced.value());
        }
        reportLivenessChanges(now);
        updateElection(mRoles.placement(), Optional.of(mSelf.region()), now);
        updateElection(mRoles.limits(), Optional.empty(), now);
    }

    /** Stops offering this entry as a candidate for roles. */
    void startDraining() {
        mDraining = true;
    }

    boolean isDraining() {
        return mDraining;
    }

    /** Returns whether another entry could take a role over. */
    boolean hasOtherCandidate(long now) {
        return !mTracker.candidates(Optional.empty(), false, now).isEmpty();
    }

    /** Returns the addresses of all other entries, configured or heard of. */
    Set<HostPort> peerAddresses() {
        Set<HostPort> addresses = new HashSet<>(mConfiguredPeers);
        mTracker.others().forEach(m -> addresses.add(m.address()));
        addresses.remove(mSelf.address());
        return addresses;
    }

    private void reportLivenessChanges(long now) {
        for (MemberIdentity member : mTracker.others()) {
            boolean live = mTracker.isLive(member.id(), now);
            if (live && mReportedLive.add(member.id())) {
                mListeners.recordEvent(EventCode.MEMBER_HEARD, member.id().value());
            } else if (!live && mReportedLive.remove(member.id())) {
                mListeners.recordEvent(EventCode.MEMBER_SILENT, member.id().value());
            }
        }
    }

    private void updateElection(RoleService role, Optional<RegionId> region, long now) {
        role.handle(
                new RoleEvent.MembersChanged(
                        mTracker.known(region),
                        mTracker.unresolved(mConfiguredPeers),
                        mTracker.candidates(region, !mDraining, now)));
    }
}
