package org.lycheeroad.coordination.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.topology.TargetInfo;

/**
 * Picks the target of a request.
 *
 * <p>Targets of the entry's own failure domain come first, then those of its region, then, if
 * waiting costs more than the link and the cap allows it, those of other regions. Among the targets
 * that admit the request, the less loaded of two random ones is taken: with loads that peers report
 * late, all entries would otherwise pick the same target.
 */
final class TargetSelector {
    private final RouterSettings mSettings;
    private final Random mRandom;
    private final SlotAdmission mSlotAdmission;
    private final PeerLoads mPeerLoads;
    private final LinkBudget mLink;
    private final Map<TargetId, TargetState> mTargets = new LinkedHashMap<>();
    private long mRemoteAttemptCount;

    TargetSelector(RouterSettings settings, Random random, PeerLoads peerLoads, LinkBudget link) {
        mSettings = settings;
        mRandom = random;
        mSlotAdmission = new SlotAdmission(settings.entryCount());
        mPeerLoads = peerLoads;
        mLink = link;
    }

    /** Applies a new list; targets with requests in flight are kept until these have ended. */
    void setTargets(List<TargetInfo> targets, long now) {
        boolean first = mTargets.isEmpty();
        Map<TargetId, TargetState> before = new LinkedHashMap<>(mTargets);
        mTargets.clear();
        for (TargetInfo info : targets) {
            TargetState state = before.remove(info.id());
            if (state == null || !state.mInfo.address().equals(info.address())) {
                state = createState(state, info, now);
                if (!first) {
                    state.mHealth.beginSlowStart(now);
                }
            }
            state.mInfo = info;
            mTargets.put(info.id(), state);
        }
        for (TargetState state : before.values()) {
            if (!state.mHeldRequests.isEmpty()) {
                state.mInfo = asDraining(state.mInfo);
                mTargets.put(state.mInfo.id(), state);
            }
        }
    }

    TargetState get(TargetId id) {
        return mTargets.get(id);
    }

    Collection<TargetState> all() {
        return mTargets.values();
    }

    /** Returns the requests sent to another region so far. */
    long remoteAttemptCount() {
        return mRemoteAttemptCount;
    }

    /**
     * Picks a target.
     *
     * @param mayCross whether waiting would cost more than the link to another region
     * @return the target, or null if none admits the request
     */
    TargetState select(
            RoutedRequest request, boolean isLong, boolean waitedLong, boolean mayCross, long now) {
        List<TargetState> domain = new ArrayList<>();
        List<TargetState> region = new ArrayList<>();
        List<TargetState> other = new ArrayList<>();
        TargetState avoided = null;
        for (TargetState target : mTargets.values()) {
            if (!canAccept(target, request, isLong, waitedLong, now)) {
                continue;
            }
            if (target.mInfo.id().equals(request.mLastTarget)) {
                avoided = target;
            } else if (target.mHealth.isEjected()) {
                return target;
            } else if (target.mInfo.failureDomain().equals(mSettings.failureDomain())) {
                domain.add(target);
            } else if (isLocal(target)) {
                region.add(target);
            } else {
                other.add(target);
            }
        }
        TargetState picked = pickLessLoaded(domain, now);
        if (picked == null) {
            picked = pickLessLoaded(region, now);
        }
        if (picked == null && avoided != null && isLocal(avoided)) {
            picked = avoided;
        }
        return picked == null && mayCross && !other.isEmpty()
                ? selectRemote(request, other, now)
                : picked;
    }

    /** Picks a target of another region if the link has room, and charges the request for it. */
    private TargetState selectRemote(RoutedRequest request, List<TargetState> other, long now) {
        if (!request.mCountedAsLinkDemand) {
            request.mCountedAsLinkDemand = true;
            mLink.recordDemand(request.mFlow);
        }
        request.mLinkCharge = mLink.tryCharge(request.mFlow, now);
        if (request.mLinkCharge == null) {
            return null;
        }
        mRemoteAttemptCount++;
        return pickLessLoaded(other, now);
    }

    /** Tells whether one more target may be ejected; half of them always stay. */
    boolean mayEject() {
        long ejected = mTargets.values().stream().filter(t -> t.mHealth.isEjected()).count();
        return 2 * (ejected + 1) <= mTargets.size();
    }

    private boolean isLocal(TargetState target) {
        return target.mInfo.region().equals(mSettings.region());
    }

    /** Tells whether a target may still be sent a request that has a connection reserved there. */
    boolean isUsable(TargetState target, long now) {
        return !target.mInfo.draining()
                && !target.mHealth.isEjected()
                && !target.mHealth.isPaused(now);
    }

    private boolean canAccept(
            TargetState target,
            RoutedRequest request,
            boolean isLong,
            boolean waitedLong,
            long now) {
        if (target.mInfo.draining()
                || target.mHealth.isPaused(now)
                || !mSlotAdmission.hasFreeConnection(target)) {
            return false;
        }
        boolean needsClaim = !request.mRepeatable && !request.mHoldsClaim;
        if (needsClaim && !mSlotAdmission.hasFreeConnectionForClaim(target)) {
            return false;
        }
        if (target.mHealth.isEjected()) {
            return target.mHealth.mayProbe(now)
                    && target.heldCount() == 0
                    && request.mRepeatable
                    && isLocal(target);
        }
        if (target.mOverdueCount >= OverdueAttempts.SUSPECT_THRESHOLD) {
            return false;
        }
        int load = target.heldCount() + mPeerLoads.loadAt(target.mInfo.id());
        return isLong
                ? mSlotAdmission.admitsLong(target, load, waitedLong, now)
                : mSlotAdmission.admitsShort(target, load, now);
    }

    private TargetState pickLessLoaded(List<TargetState> targets, long now) {
        if (targets.isEmpty()) {
            return null;
        }
        TargetState a = targets.get(mRandom.nextInt(targets.size()));
        TargetState b = targets.get(mRandom.nextInt(targets.size()));
        return relativeLoad(a, now) <= relativeLoad(b, now) ? a : b;
    }

    private double relativeLoad(TargetState target, long now) {
        int load = target.heldCount() + mPeerLoads.loadAt(target.mInfo.id()) + target.mOverdueCount;
        return (load + 1.0) / (target.mInfo.slots() * target.mHealth.slowStartFraction(now));
    }

    /** A new process at another address; what is in flight at the old one still holds there. */
    private static TargetState createState(TargetState before, TargetInfo info, long now) {
        TargetState state = new TargetState(info, now);
        if (before != null) {
            for (RoutedRequest request : before.mHeldRequests) {
                state.hold(request, now);
                request.mTarget = state;
            }
        }
        return state;
    }

    private static TargetInfo asDraining(TargetInfo info) {
        return new TargetInfo(
                info.id(),
                info.region(),
                info.failureDomain(),
                info.address(),
                info.slots(),
                info.connections(),
                true);
    }
}
