package org.lycheeroad.entry.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.coordination.roles.RoleEvent;

/** The two roles that an entry can hold; all methods run on the control thread. */
final class ControlRoles {
    /** The name of the role whose holder allocates the shares of the rate limits. */
    static final String LIMITS_ROLE = "limits";

    private final RoleService mPlacement;
    private final RoleService mLimits;

    ControlRoles(RoleService placement, RoleService limits) {
        mPlacement = placement;
        mLimits = limits;
    }

    /** Returns the placement role of this entry's region. */
    RoleService placement() {
        return mPlacement;
    }

    /** Returns the role {@link #LIMITS_ROLE}. */
    RoleService limits() {
        return mLimits;
    }

    List<RoleService> all() {
        return List.of(mPlacement, mLimits);
    }

    /** Returns the role with a name, if this entry takes part in its election. */
    Optional<RoleService> findByName(String role) {
        return all().stream().filter(r -> r.roleName().equals(role)).findFirst();
    }

    /** Passes an event to both elections. */
    void handle(RoleEvent event) {
        mPlacement.handle(event);
        mLimits.handle(event);
    }

    /** Returns the fencing token of each role, or 0 where this entry does not hold the role. */
    Map<String, Long> heldTokens() {
        return Map.of(
                mPlacement.roleName(), mPlacement.election().heldToken(),
                mLimits.roleName(), mLimits.election().heldToken());
    }

    /** Returns whether this entry holds at least one of the roles. */
    boolean holdsAnyRole() {
        return mPlacement.election().heldToken() != 0 || mLimits.election().heldToken() != 0;
    }

    /** Returns whether no election is in progress. */
    boolean hasNoElectionInProgress(long nowMillis) {
        return mPlacement.election().isSettled(nowMillis)
                && mLimits.election().isSettled(nowMillis);
    }

    /** Returns whether the store responded recently. */
    boolean isStoreReachable(long nowMillis) {
        return mPlacement.election().isStoreReachable(nowMillis);
    }

    /** Releases both roles at shutdown. */
    void releaseAll() {
        mPlacement.stop();
        mLimits.stop();
    }
}
