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

/** Tracks the other entries and updates the elections' voters; runs on the control thread. */
final class MembershipService {
    private final MemberIdentity mSelf;
    private final Set<HostPort> mConfiguredPeers;
    private final MembershipTracker mTracker;
    private final ControlRoles mRoles;
    private final ControlListenerRegistry mListeners;
    private final Set<EntryId> mReportedLive = new HashSet<>();
    private boolean mDraining;

    MembershipService(
            MemberIdentity self,
            Collection<HostPort> configuredPeers,
            MembershipTracker tracker,
            ControlRoles roles,
            ControlListenerRegistry listeners) {
        mSelf = self;
        mConfiguredPeers = new HashSet<>(configuredPeers);
        mConfiguredPeers.remove(self.address());
        mTracker = tracker;
        mRoles = roles;
        mListeners = listeners;
    }

    /** Processes an event, reports liveness changes and updates the elections. */
    void handle(MembershipEvent event) {
        long nowMillis = ControlLoop.nowMillis();
        for (EntryId replaced : mTracker.handle(event, nowMillis)) {
            mRoles.handle(new RoleEvent.PeerReplaced(replaced));
            mListeners.recordEvent(EventCode.MEMBER_REPLACED, replaced.value());
        }
        reportLivenessChanges(nowMillis);
        updateVotersAndCandidates(mRoles.placement(), Optional.of(mSelf.region()), nowMillis);
        updateVotersAndCandidates(mRoles.limits(), Optional.empty(), nowMillis);
    }

    /** Stops offering this entry as a candidate for roles. */
    void startDraining() {
        mDraining = true;
    }

    boolean isDraining() {
        return mDraining;
    }

    /** Returns whether another entry could take over a role. */
    boolean hasOtherCandidate(long nowMillis) {
        return !mTracker.candidates(Optional.empty(), false, nowMillis).isEmpty();
    }

    /** Returns the addresses of all other entries, configured or discovered. */
    Set<HostPort> peerAddresses() {
        Set<HostPort> addresses = new HashSet<>(mConfiguredPeers);
        mTracker.otherMembers().forEach(member -> addresses.add(member.address()));
        addresses.remove(mSelf.address());
        return addresses;
    }

    private void reportLivenessChanges(long nowMillis) {
        for (MemberIdentity member : mTracker.otherMembers()) {
            boolean live = mTracker.isLive(member.id(), nowMillis);
            if (live && mReportedLive.add(member.id())) {
                mListeners.recordEvent(EventCode.MEMBER_HEARD, member.id().value());
            } else if (!live && mReportedLive.remove(member.id())) {
                mListeners.recordEvent(EventCode.MEMBER_SILENT, member.id().value());
            }
        }
    }

    private void updateVotersAndCandidates(
            RoleService role, Optional<RegionId> region, long nowMillis) {
        role.handle(
                new RoleEvent.MembersChanged(
                        mTracker.knownEntries(region),
                        mTracker.countUnresolved(mConfiguredPeers),
                        mTracker.candidates(region, !mDraining, nowMillis)));
    }
}
