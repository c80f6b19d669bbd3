package org.lycheeroad.entry.control;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.coordination.membership.MemberIdentity;
import org.lycheeroad.coordination.membership.MembershipEvent;
import org.lycheeroad.coordination.membership.MembershipTracker;
import org.lycheeroad.coordination.roles.RoleEvent;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/** Tracks the other entries and tells the elections who votes; runs on the control thread. */
final class MembershipService {
    private final MemberIdentity mSelf;
    private final Set<HostPort> mPeers;
    private final MembershipTracker mMembers;
    private final ControlRoles mRoles;
    private final ControlListeners mListeners;
    private final Set<EntryId> mLive = new HashSet<>();
    private boolean mDraining;

    MembershipService(
            MemberIdentity self,
            Collection<HostPort> peers,
            MembershipTracker members,
            ControlRoles roles,
            ControlListeners listeners) {
        mSelf = self;
        mPeers = new HashSet<>(peers);
        mPeers.remove(self.address());
        mMembers = members;
        mRoles = roles;
        mListeners = listeners;
    }

    /** Takes in an event, reports members that came or went, and updates the elections. */
    void handle(MembershipEvent event) {
        long now = ControlLoop.now();
        for (EntryId replaced : mMembers.handle(event, now)) {
            mRoles.handle(new RoleEvent.PeerReplaced(replaced));
            mListeners.event(EventCode.MEMBER_REPLACED, replaced.value());
        }
        reportLiveness(now);
        updateElection(mRoles.placement(), Optional.of(mSelf.region()), now);
        updateElection(mRoles.limits(), Optional.empty(), now);
    }

    /** Stops offering this entry as a candidate for roles. */
    void drain() {
        mDraining = true;
    }

    boolean isDraining() {
        return mDraining;
    }

    /** Returns whether another entry could take a role over. */
    boolean hasOtherCandidate(long now) {
        return !mMembers.candidates(Optional.empty(), false, now).isEmpty();
    }

    /** Returns the addresses of all other entries, configured or heard of. */
    Set<HostPort> addresses() {
        Set<HostPort> addresses = new HashSet<>(mPeers);
        mMembers.otherMembers().forEach(m -> addresses.add(m.address()));
        addresses.remove(mSelf.address());
        return addresses;
    }

    private void reportLiveness(long now) {
        for (MemberIdentity member : mMembers.otherMembers()) {
            boolean live = mMembers.isLive(member.id(), now);
            if (live && mLive.add(member.id())) {
                mListeners.event(EventCode.MEMBER_HEARD, member.id().value());
            } else if (!live && mLive.remove(member.id())) {
                mListeners.event(EventCode.MEMBER_SILENT, member.id().value());
            }
        }
    }

    private void updateElection(RoleService role, Optional<RegionId> region, long now) {
        role.handle(
                new RoleEvent.MembersChanged(
                        mMembers.knownEntries(region),
                        mMembers.countUnresolved(mPeers),
                        mMembers.candidates(region, !mDraining, now)));
    }
}
