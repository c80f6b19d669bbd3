package org.lycheeroad.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/**
 * Combines heartbeats, the list of VMs and the leases of the store into one view of the entries.
 *
 * <p>Only heartbeats show that an entry is alive. An entry is known, and so counts in majorities,
 * as long as any source names it; it is forgotten only when none does. Times are in milliseconds of
 * a monotonic clock.
 */
public final class MembershipTracker {
    /** Four heartbeats; the same as the silence after which a role may be claimed. */
    public static final long LIVENESS_TIMEOUT_MILLIS = 2_000;

    /** Exceeds the lag of the list of VMs and the lease of the members' keys. */
    static final long REMOVAL_DELAY_MILLIS = 30_000;

    /** An entry that falls silent again within this time is flapping. */
    static final long FLAP_WINDOW_MILLIS = 60_000;

    private static final long INITIAL_HOLD_DOWN_MILLIS = 2_000;
    private static final int MAX_FLAP_COUNT = 4;

    /** What is known about one entry other than this one. */
    private static final class Member {
        private MemberIdentity mIdentity;
        private long mLastHeartbeatAtMillis;
        private boolean mHeartbeatReceived;
        private boolean mDraining;
        private boolean mHasStoreLease;
        private boolean mStoreLeaseEnded;
        private boolean mInVmList;
        private boolean mLeavingPerVmList;
        private long mLiveSinceMillis;
        private int mFlapCount;
        private long mFirstSeenAtMillis;

        Member(MemberIdentity identity, long now) {
            mIdentity = identity;
            mFirstSeenAtMillis = now;
        }

        boolean isLive(long now) {
            return mHeartbeatReceived && now - mLastHeartbeatAtMillis < LIVENESS_TIMEOUT_MILLIS;
        }
    }

    private final MemberIdentity mSelf;
    private final Map<EntryId, Member> mMembers = new TreeMap<>();
    private boolean mVmListRead;

    public MembershipTracker(MemberIdentity self) {
        mSelf = self;
    }

    /** Handles one event and returns the entries whose instance was replaced by it. */
    public Set<EntryId> handle(MembershipEvent event, long nowMillis) {
        Set<EntryId> replaced = new HashSet<>();
        if (event instanceof MembershipEvent.HeartbeatReceived e) {
            onHeartbeatReceived(e, nowMillis, replaced);
        } else if (event instanceof MembershipEvent.VmListRead e) {
            onVmListRead(e, nowMillis);
        } else if (event instanceof MembershipEvent.MemberKeyStored e) {
            onMemberKeyStored(e, nowMillis);
        } else if (event instanceof MembershipEvent.MemberKeyDeleted e) {
            Member member = mMembers.get(e.id());
            if (member != null) {
                member.mHasStoreLease = false;
                member.mStoreLeaseEnded = true;
            }
        }
        mMembers.values().removeIf(m -> isRemovable(m, nowMillis));
        return replaced;
    }

    /** Returns whether a frame of this instance comes from the current run of its entry. */
    public boolean isCurrentInstance(EntryId id, long instance) {
        Member member = mMembers.get(id);
        return member != null && member.mIdentity.instance() == instance;
    }

    /**
     * Returns the known entries of a region, or of all regions, with this one if it belongs.
     *
     * <p>Entries that said that they leave do not vote any more and are left out.
     */
    public Set<EntryId> knownEntries(Optional<RegionId> region) {
        Set<EntryId> known = new HashSet<>();
        if (region.isEmpty() || region.get().equals(mSelf.region())) {
            known.add(mSelf.id());
        }
        for (Member member : mMembers.values()) {
            if (member.mDraining) {
                continue;
            }
            RegionId memberRegion = member.mIdentity.region();
            if (region.isEmpty() || memberRegion == null || region.get().equals(memberRegion)) {
                known.add(member.mIdentity.id());
            }
        }
        return known;
    }

    /**
     * Returns the entries that may hold a role: live, not leaving, and steady, lowest id first.
     *
     * <p>An entry that flaps must be heard for longer each time before it is a candidate again.
     */
    public List<EntryId> candidates(Optional<RegionId> region, boolean withSelf, long nowMillis) {
        List<EntryId> candidates = new ArrayList<>();
        if (withSelf) {
            candidates.add(mSelf.id());
        }
        for (Member member : mMembers.values()) {
            boolean inRegion = region.isEmpty() || region.get().equals(member.mIdentity.region());
            boolean leaves = member.mDraining || member.mLeavingPerVmList;
            if (inRegion && !leaves && member.isLive(nowMillis) && isStable(member, nowMillis)) {
                candidates.add(member.mIdentity.id());
            }
        }
        candidates.sort(Comparator.naturalOrder());
        return candidates;
    }

    /** Returns whether the entry was heard in the last {@link #LIVENESS_TIMEOUT_MILLIS}. */
    public boolean isLive(EntryId id, long nowMillis) {
        Member member = mMembers.get(id);
        return member != null && member.isLive(nowMillis);
    }

    /** Returns the time since the entry was heard, or empty if it never was. */
    public Optional<Long> millisSinceHeartbeat(EntryId id, long nowMillis) {
        Member member = mMembers.get(id);
        return member == null || !member.mHeartbeatReceived
                ? Optional.empty()
                : Optional.of(nowMillis - member.mLastHeartbeatAtMillis);
    }

    /** Returns the identities of all known entries other than this one. */
    public List<MemberIdentity> otherMembers() {
        return mMembers.values().stream().map(m -> m.mIdentity).toList();
    }

    /** Returns the identity of an entry other than this one. */
    public Optional<MemberIdentity> identity(EntryId id) {
        return Optional.ofNullable(mMembers.get(id)).map(m -> m.mIdentity);
    }

    /**
     * Returns how many of the configured addresses belong to no known entry.
     *
     * <p>Such an entry may be alive behind a cut, so it counts against majorities.
     */
    public int countUnresolved(Collection<HostPort> configured) {
        Set<HostPort> resolved = new HashSet<>();
        resolved.add(mSelf.address());
        otherMembers().forEach(m -> resolved.add(m.address()));
        return (int) configured.stream().distinct().filter(a -> !resolved.contains(a)).count();
    }

    private void onHeartbeatReceived(
            MembershipEvent.HeartbeatReceived event, long now, Set<EntryId> replaced) {
        MemberIdentity from = event.sender();
        if (from.id().equals(mSelf.id())) {
            return;
        }
        Member member = mMembers.computeIfAbsent(from.id(), id -> new Member(from, now));
        long known = member.mIdentity.instance();
        if (known != from.instance()) {
            boolean delayed =
                    known > from.instance() && member.mHeartbeatReceived && member.isLive(now);
            if (delayed) {
                return;
            }
            if (known != 0) {
                replaced.add(from.id());
            }
            member.mDraining = false;
            member.mHeartbeatReceived = false;
        }
        countFlaps(member, now);
        member.mIdentity = from;
        member.mHeartbeatReceived = true;
        member.mLastHeartbeatAtMillis = now;
        member.mDraining = event.draining();
        removePredecessorAtAddress(from);
    }

    private void onVmListRead(MembershipEvent.VmListRead event, long now) {
        mVmListRead = true;
        mMembers.values().forEach(m -> m.mInVmList = false);
        for (ListedEntry entry : event.entries()) {
            if (entry.id().equals(mSelf.id())) {
                continue;
            }
            MemberIdentity identity =
                    new MemberIdentity(entry.id(), 0, entry.region(), entry.address());
            Member member = mMembers.computeIfAbsent(entry.id(), id -> new Member(identity, now));
            member.mInVmList = true;
            member.mLeavingPerVmList = entry.leaving();
        }
    }

    private void onMemberKeyStored(MembershipEvent.MemberKeyStored event, long now) {
        MemberIdentity leased = event.member();
        if (leased.id().equals(mSelf.id())) {
            return;
        }
        Member member = mMembers.computeIfAbsent(leased.id(), id -> new Member(leased, now));
        member.mHasStoreLease = true;
        member.mStoreLeaseEnded = false;
        if (!member.mHeartbeatReceived || leased.instance() > member.mIdentity.instance()) {
            if (leased.instance() != member.mIdentity.instance()) {
                member.mHeartbeatReceived = false;
            }
            member.mIdentity = leased;
        }
    }

    /** Drops an entry with another id whose address a live entry has taken over. */
    private void removePredecessorAtAddress(MemberIdentity live) {
        mMembers.values()
                .removeIf(
                        m ->
                                !m.mIdentity.id().equals(live.id())
                                        && Objects.equals(m.mIdentity.address(), live.address())
                                        && m.mIdentity.instance() < live.instance());
    }

    private boolean isRemovable(Member member, long now) {
        long since =
                member.mHeartbeatReceived
                        ? member.mLastHeartbeatAtMillis
                        : member.mFirstSeenAtMillis;
        if (now - since < REMOVAL_DELAY_MILLIS || member.mHasStoreLease) {
            return false;
        }
        return mVmListRead ? !member.mInVmList : member.mStoreLeaseEnded;
    }

    private static void countFlaps(Member member, long now) {
        if (member.mHeartbeatReceived && member.isLive(now)) {
            return;
        }
        if (member.mHeartbeatReceived && now - member.mLiveSinceMillis < FLAP_WINDOW_MILLIS) {
            member.mFlapCount = Math.min(MAX_FLAP_COUNT, member.mFlapCount + 1);
        } else {
            member.mFlapCount = 0;
        }
        member.mLiveSinceMillis = now;
    }

    /** Returns whether the entry was heard long enough, twice as long after each flap. */
    private static boolean isStable(Member member, long now) {
        long proof =
                member.mFlapCount == 0 ? 0 : INITIAL_HOLD_DOWN_MILLIS << (member.mFlapCount - 1);
        return now - member.mLiveSinceMillis >= proof;
    }
}
