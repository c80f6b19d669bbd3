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
 * Selects the target of a request.
 *
 * <p>Targets in the failure domain of this entry are preferred, then those in its region. Targets
 * in other regions are used if waiting takes longer than a round trip and the link budget allows
 * it. Among the targets that can accept the request, the less loaded of two random ones is taken
 * (power of two choices): as loads are reported with a delay, all entries would otherwise select
 * the same target.
 */
final class TargetSelector {
    private final RouterSettings mSettings;
    private final Random mRandom;
    private final SlotAdmission mSlotAdmission;
    private final PeerLoads mPeerLoads;
    private final LinkBudget mLinkBudget;
    private final Map<TargetId, TargetState> mTargets = new LinkedHashMap<>();
    private long mRemoteAttemptCount;

    TargetSelector(
            RouterSettings settings, Random random, PeerLoads peerLoads, LinkBudget linkBudget) {
        mSettings = settings;
        mRandom = random;
        mSlotAdmission = new SlotAdmission(settings.entryCount());
        mPeerLoads = peerLoads;
        mLinkBudget = linkBudget;
    }

    /**
     * Replaces the list of targets; removed targets with requests in flight are kept as draining.
     */
    void setTargets(List<TargetInfo> targets, long nowMicros) {
        boolean isInitialList = mTargets.isEmpty();
        Map<TargetId, TargetState> previous = new LinkedHashMap<>(mTargets);
        mTargets.clear();
        for (TargetInfo info : targets) {
            TargetState state = previous.remove(info.id());
            if (state == null || !state.mInfo.address().equals(info.address())) {
                state = createState(state, info, nowMicros);
                if (!isInitialList) {
                    state.mHealth.beginSlowStart(nowMicros);
                }
            }
            state.mInfo = info;
            mTargets.put(info.id(), state);
        }
        for (TargetState state : previous.values()) {
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

    /** Returns the number of attempts assigned to targets in other regions so far. */
    long remoteAttemptCount() {
        return mRemoteAttemptCount;
    }

    /**
     * Selects a target.
     *
     * @param isLong whether the request counts as long; see {@link ServiceTimeSampler#isLong}
     * @param mayUseReserved whether a long request may use slots reserved for short ones
     * @param mayUseRemote whether targets in other regions may be selected
     * @return the target, or null if none can accept the request
     */
    TargetState select(
            RoutedRequest request,
            boolean isLong,
            boolean mayUseReserved,
            boolean mayUseRemote,
            long nowMicros) {
        List<TargetState> sameDomain = new ArrayList<>();
        List<TargetState> sameRegion = new ArrayList<>();
        List<TargetState> remote = new ArrayList<>();
        TargetState lastTarget = null;
        for (TargetState target : mTargets.values()) {
            if (!canAccept(target, request, isLong, mayUseReserved, nowMicros)) {
                continue;
            }
            if (target.mInfo.id().equals(request.mLastTarget)) {
                lastTarget = target;
            } else if (target.mHealth.isEjected()) {
                return target;
            } else if (target.mInfo.failureDomain().equals(mSettings.failureDomain())) {
                sameDomain.add(target);
            } else if (isLocal(target)) {
                sameRegion.add(target);
            } else {
                remote.add(target);
            }
        }
        TargetState picked = pickLessLoaded(sameDomain, nowMicros);
        if (picked == null) {
            picked = pickLessLoaded(sameRegion, nowMicros);
        }
        if (picked == null && lastTarget != null && isLocal(lastTarget)) {
            picked = lastTarget;
        }
        return picked == null && mayUseRemote && !remote.isEmpty()
                ? selectRemote(request, remote, nowMicros)
                : picked;
    }

    /** Selects a target in another region and charges the link budget, or returns null. */
    private TargetState selectRemote(
            RoutedRequest request, List<TargetState> remote, long nowMicros) {
        if (!request.mCountedAsLinkDemand) {
            request.mCountedAsLinkDemand = true;
            mLinkBudget.recordDemand(request.mFlow);
        }
        request.mLinkCharge = mLinkBudget.tryCharge(request.mFlow, nowMicros);
        if (request.mLinkCharge == null) {
            return null;
        }
        mRemoteAttemptCount++;
        return pickLessLoaded(remote, nowMicros);
    }

    /** Returns whether one more target may be ejected; at least half of all targets must remain. */
    boolean mayEject() {
        long ejected = mTargets.values().stream().filter(t -> t.mHealth.isEjected()).count();
        return 2 * (ejected + 1) <= mTargets.size();
    }

    private boolean isLocal(TargetState target) {
        return target.mInfo.region().equals(mSettings.region());
    }

    /** Returns whether a request that holds a connection to a target may still be sent to it. */
    boolean isUsable(TargetState target, long nowMicros) {
        return !target.mInfo.draining()
                && !target.mHealth.isEjected()
                && !target.mHealth.isPaused(nowMicros);
    }

    private boolean canAccept(
            TargetState target,
            RoutedRequest request,
            boolean isLong,
            boolean mayUseReserved,
            long nowMicros) {
        if (target.mInfo.draining()
                || target.mHealth.isPaused(nowMicros)
                || !mSlotAdmission.hasFreeConnection(target)) {
            return false;
        }
        boolean needsClaim = !request.mRepeatable && !request.mHoldsClaim;
        if (needsClaim && !mSlotAdmission.hasFreeConnectionForClaim(target)) {
            return false;
        }
        if (target.mHealth.isEjected()) {
            return target.mHealth.mayProbe(nowMicros)
                    && target.heldCount() == 0
                    && request.mRepeatable
                    && isLocal(target);
        }
        if (target.mOverdueCount >= OverdueAttempts.SUSPECT_THRESHOLD) {
            return false;
        }
        int load = target.heldCount() + mPeerLoads.loadAt(target.mInfo.id());
        return isLong
                ? mSlotAdmission.admitsLong(target, load, mayUseReserved, nowMicros)
                : mSlotAdmission.admitsShort(target, load, nowMicros);
    }

    private TargetState pickLessLoaded(List<TargetState> targets, long nowMicros) {
        if (targets.isEmpty()) {
            return null;
        }
        TargetState a = targets.get(mRandom.nextInt(targets.size()));
        TargetState b = targets.get(mRandom.nextInt(targets.size()));
        return relativeLoad(a, nowMicros) <= relativeLoad(b, nowMicros) ? a : b;
    }

    /** Returns the load after one more request, relative to the usable slots. */
    private double relativeLoad(TargetState target, long nowMicros) {
        int load = target.heldCount() + mPeerLoads.loadAt(target.mInfo.id()) + target.mOverdueCount;
        return (load + 1.0) / (target.mInfo.slots() * target.mHealth.slowStartFraction(nowMicros));
    }

    /**
     * Returns the state of a new target or a new process of a target, which has another address.
     *
     * @param previous the state of the previous process, whose requests in flight are taken over,
     *     or null
     */
    private static TargetState createState(TargetState previous, TargetInfo info, long nowMicros) {
        TargetState state = new TargetState(info, nowMicros);
        if (previous != null) {
            for (RoutedRequest request : previous.mHeldRequests) {
                state.addRequest(request, nowMicros);
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
