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
 * Tracks the other entries from three sources: heartbeats, the platform's list of VMs, and the
 * members' leased keys in the store.
 *
 * <p>Only heartbeats show that an entry is live. An entry is known, and so counts towards
 * majorities, as long as any source reports it; it is removed only when none does. Times are in
 * milliseconds of a monotonic clock.
 */
public final class MembershipTracker {
    /**
     * Time without a heartbeat after which an entry is no longer live: four heartbeat intervals,
     * and equal to the peer timeout after which another entry may be elected for its role.
     */
    public static final long LIVENESS_TIMEOUT_MILLIS = 2_000;

    /**
     * Time since its last heartbeat for which an entry is kept at least. It exceeds the delay of
     * the list of VMs and the duration of the lease of the members' keys.
     */
    static final long REMOVAL_DELAY_MILLIS = 30_000;

    /**
     * An entry is flapping if it is lost and becomes live again within this time after it last
     * became live.
     */
    static final long FLAP_WINDOW_MILLIS = 60_000;

    /** Hold-down time after the first flap; it doubles with each further one. */
    private static final long INITIAL_HOLD_DOWN_MILLIS = 2_000;

    private static final int MAX_FLAP_COUNT = 4;

    /** State of one entry other than this one. */
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

        Member(MemberIdentity identity, long nowMillis) {
            mIdentity = identity;
            mFirstSeenAtMillis = nowMillis;
        }

        boolean isLive(long nowMillis) {
            return mHeartbeatReceived
                    && nowMillis - mLastHeartbeatAtMillis < LIVENESS_TIMEOUT_MILLIS;
        }
    }

    private final MemberIdentity mSelf;
    private final Map<EntryId, Member> mMembers = new TreeMap<>();
    private boolean mVmListRead;

    /** Creates a tracker that knows only its own entry. */
    public MembershipTracker(MemberIdentity self) {
        mSelf = self;
    }

    /** Handles one event and returns the entries that it showed to run as a new instance. */
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

    /** Returns whether the instance is the current one of its entry, rather than an earlier run. */
    public boolean isCurrentInstance(EntryId id, long instance) {
        Member member = mMembers.get(id);
        return member != null && member.mIdentity.instance() == instance;
    }

    /**
     * Returns the known entries of a region, or of all regions, including this entry if it matches.
     *
     * <p>Draining entries are left out, as they no longer vote.
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
     * Returns the entries that may hold a role, in the order of their ids: those that are live, not
     * leaving, and not held down.
     *
     * <p>A flapping entry is held down for longer after each flap before it is a candidate again.
     */
    public List<EntryId> candidates(Optional<RegionId> region, boolean withSelf, long nowMillis) {
        List<EntryId> candidates = new ArrayList<>();
        if (withSelf) {
            candidates.add(mSelf.id());
        }
        for (Member member : mMembers.values()) {
            boolean inRegion = region.isEmpty() || region.get().equals(member.mIdentity.region());
            boolean leaving = member.mDraining || member.mLeavingPerVmList;
            if (inRegion && !leaving && member.isLive(nowMillis) && isStable(member, nowMillis)) {
                candidates.add(member.mIdentity.id());
            }
        }
        candidates.sort(Comparator.naturalOrder());
        return candidates;
    }

    /** Returns whether a heartbeat arrived within {@link #LIVENESS_TIMEOUT_MILLIS}. */
    public boolean isLive(EntryId id, long nowMillis) {
        Member member = mMembers.get(id);
        return member != null && member.isLive(nowMillis);
    }

    /** Returns the time since the last heartbeat, or empty if the current instance sent none. */
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
     * Returns the number of configured addresses that belong to no known entry.
     *
     * <p>Such an entry may be alive behind a network partition, so it counts as a voter when the
     * size of a majority is computed.
     */
    public int countUnresolved(Collection<HostPort> configured) {
        Set<HostPort> resolved = new HashSet<>();
        resolved.add(mSelf.address());
        otherMembers().forEach(m -> resolved.add(m.address()));
        return (int) configured.stream().distinct().filter(a -> !resolved.contains(a)).count();
    }

    private void onHeartbeatReceived(
            MembershipEvent.HeartbeatReceived event, long nowMillis, Set<EntryId> replaced) {
        MemberIdentity sender = event.sender();
        if (sender.id().equals(mSelf.id())) {
            return;
        }
        Member member = mMembers.computeIfAbsent(sender.id(), id -> new Member(sender, nowMillis));
        long knownInstance = member.mIdentity.instance();
        if (knownInstance != sender.instance()) {
            boolean sentByPredecessor =
                    knownInstance > sender.instance()
                            && member.mHeartbeatReceived
                            && member.isLive(nowMillis);
            if (sentByPredecessor) {
                return;
            }
            if (knownInstance != 0) {
                replaced.add(sender.id());
            }
            member.mDraining = false;
            member.mHeartbeatReceived = false;
        }
        countFlaps(member, nowMillis);
        member.mIdentity = sender;
        member.mHeartbeatReceived = true;
        member.mLastHeartbeatAtMillis = nowMillis;
        member.mDraining = event.draining();
        removePredecessorAtAddress(sender);
    }

    private void onVmListRead(MembershipEvent.VmListRead event, long nowMillis) {
        mVmListRead = true;
        mMembers.values().forEach(m -> m.mInVmList = false);
        for (ListedEntry entry : event.entries()) {
            if (entry.id().equals(mSelf.id())) {
                continue;
            }
            MemberIdentity identity =
                    new MemberIdentity(entry.id(), 0, entry.region(), entry.address());
            Member member =
                    mMembers.computeIfAbsent(entry.id(), id -> new Member(identity, nowMillis));
            member.mInVmList = true;
            member.mLeavingPerVmList = entry.leaving();
        }
    }

    private void onMemberKeyStored(MembershipEvent.MemberKeyStored event, long nowMillis) {
        MemberIdentity stored = event.member();
        if (stored.id().equals(mSelf.id())) {
            return;
        }
        Member member = mMembers.computeIfAbsent(stored.id(), id -> new Member(stored, nowMillis));
        member.mHasStoreLease = true;
        member.mStoreLeaseEnded = false;
        if (!member.mHeartbeatReceived || stored.instance() > member.mIdentity.instance()) {
            if (stored.instance() != member.mIdentity.instance()) {
                member.mHeartbeatReceived = false;
            }
            member.mIdentity = stored;
        }
    }

    /** Removes an entry with another id whose address a newer, live entry now uses. */
    private void removePredecessorAtAddress(MemberIdentity live) {
        mMembers.values()
                .removeIf(
                        m ->
                                !m.mIdentity.id().equals(live.id())
                                        && Objects.equals(m.mIdentity.address(), live.address())
                                        && m.mIdentity.instance() < live.instance());
    }

    /** Returns whether no source has reported the entry for long enough to remove it. */
    private boolean isRemovable(Member member, long nowMillis) {
        long lastSeenAtMillis =
                member.mHeartbeatReceived
                        ? member.mLastHeartbeatAtMillis
                        : member.mFirstSeenAtMillis;
        if (nowMillis - lastSeenAtMillis < REMOVAL_DELAY_MILLIS || member.mHasStoreLease) {
            return false;
        }
        return mVmListRead ? !member.mInVmList : member.mStoreLeaseEnded;
    }

    /** Updates the flap count when a heartbeat arrives from an entry that was not live. */
    private static void countFlaps(Member member, long nowMillis) {
        if (member.mHeartbeatReceived && member.isLive(nowMillis)) {
            return;
        }
        if (member.mHeartbeatReceived && nowMillis - member.mLiveSinceMillis < FLAP_WINDOW_MILLIS) {
            member.mFlapCount = Math.min(MAX_FLAP_COUNT, member.mFlapCount + 1);
        } else {
            member.mFlapCount = 0;
        }
        member.mLiveSinceMillis = nowMillis;
    }

    /** Returns whether the entry has been live for its hold-down time. */
    private static boolean isStable(Member member, long nowMillis) {
        long holdDownMillis =
                member.mFlapCount == 0 ? 0 : INITIAL_HOLD_DOWN_MILLIS << (member.mFlapCount - 1);
        return nowMillis - member.mLiveSinceMillis >= holdDownMillis;
    }
}
