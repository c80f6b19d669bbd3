package org.lycheeroad.entry.control;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.coordination.roles.RoleEvent;

/** Hands over this entry's roles at a clean shutdown and then deletes its keys from the store. */
final class ControlShutdown {
    private static final long HANDOVER_TIMEOUT_MILLIS = 2_500;

    private final ControlLoop mLoop;
    private final MembershipService mMembership;
    private final ControlRoles mRoles;
    private final MemberLease mMemberLease;
    private final StoreWatcher mStoreWatcher;

    ControlShutdown(
            ControlLoop loop,
            MembershipService membership,
            ControlRoles roles,
            MemberLease memberLease,
            StoreWatcher storeWatcher) {
        mLoop = loop;
        mMembership = membership;
        mRoles = roles;
        mMemberLease = memberLease;
        mStoreWatcher = storeWatcher;
    }

    /**
     * Waits until the roles are handed over, no other entry can take them, or 2.5 s have passed.
     *
     * <p>Returns after at most 5 s, in case the control thread is blocked. If interrupted, returns
     * immediately with the interrupt flag set.
     */
    void run() {
        CountDownLatch stopped = new CountDownLatch(1);
        mLoop.execute(
                () -> {
                    mMembership.startDraining();
                    mRoles.handle(new RoleEvent.DrainStarted());
                    stopOnceHandedOver(ControlLoop.nowMillis() + HANDOVER_TIMEOUT_MILLIS, stopped);
                });
        try {
            stopped.await(2 * HANDOVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stopOnceHandedOver(long deadlineMillis, CountDownLatch stopped) {
        long nowMillis = ControlLoop.nowMillis();
        if (mRoles.holdsAnyRole()
                && mMembership.hasOtherCandidate(nowMillis)
                && nowMillis < deadlineMillis) {
            mLoop.schedule(
                    ControlLoop.TICK_INTERVAL_MILLIS,
                    () -> stopOnceHandedOver(deadlineMillis, stopped));
            return;
        }
        mRoles.releaseAll();
        mMemberLease.stop();
        mStoreWatcher.stop();
        stopped.countDown();
    }
}
