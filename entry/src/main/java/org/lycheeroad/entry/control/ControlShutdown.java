package org.lycheeroad.entry.control;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.coordination.roles.RoleEvent;

/** Hands this entry's roles over at a clean shutdown and then gives up its keys in the store. */
final class ControlShutdown {
    private static final long HANDOVER_TIMEOUT_MILLIS = 2_500;

    private final ControlLoop mLoop;
    private final MembershipService mMembership;
    private final ControlRoles mRoles;
    private final MemberLease mMemberLease;
    private final StoreWatcher mMirror;

    ControlShutdown(
            ControlLoop loop,
            MembershipService membership,
            ControlRoles roles,
            MemberLease memberLease,
            StoreWatcher mirror) {
        mLoop = loop;
        mMembership = membership;
        mRoles = roles;
        mMemberLease = memberLease;
        mMirror = mirror;
    }

    /**
     * Waits until the roles are handed over, no other entry can take them, or 2.5 s have passed;
     * returns after 5 s at the latest, and at once, with the interrupt flag set, on an interrupt.
     */
    void run() {
        CountDownLatch done = new CountDownLatch(1);
        mLoop.execute(
                () -> {
                    mMembership.startDraining();
                    mRoles.handle(new RoleEvent.Drain());
                    stopOnceHandedOver(ControlLoop.nowMillis() + HANDOVER_TIMEOUT_MILLIS, done);
                });
        try {
            done.await(2 * HANDOVER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void stopOnceHandedOver(long deadline, CountDownLatch done) {
        long now = ControlLoop.nowMillis();
        if (mRoles.holdsAnyRole() && mMembership.hasOtherCandidate(now) && now < deadline) {
            mLoop.schedule(
                    ControlLoop.TICK_INTERVAL_MILLIS, () -> stopOnceHandedOver(deadline, done));
            return;
        }
        mRoles.releaseAll();
        mMemberLease.stop();
        mMirror.stop();
        done.countDown();
    }
}
