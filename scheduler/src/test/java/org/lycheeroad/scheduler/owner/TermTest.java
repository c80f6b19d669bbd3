package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TermTest {
    private final ManualClock mClock = new ManualClock();
    private final Term mTerm = new Term(7, 10, 3, mClock);

    TermTest() {
        extendLease();
    }

    /** An owner that acted after its lease expired could interfere with the next owner. */
    @Test
    void leaseIsInvalidOnceItExpires() {
        mClock.advance(1_999);
        assertThat(mTerm.isLeaseValid()).isTrue();
        mClock.advance(1);
        assertThat(mTerm.isLeaseValid()).isFalse();
    }

    /** The monotonic clock stops while the VM is suspended, but the lease still expires. */
    @Test
    void vmSuspensionInvalidatesTheLeaseUntilTheNextRenewal() {
        mClock.suspendVm(10_000);
        assertThat(mTerm.isLeaseValid()).isFalse();
        extendLease();
        assertThat(mTerm.isLeaseValid()).isTrue();
    }

    /**
     * Guards against an owner that was suspended while a renewal was in flight, and takes the lease
     * as valid after it has ended in the store.
     */
    @Test
    void vmSuspensionBeforeTheReplyInvalidatesTheRenewedLease() {
        long requestedAtMs = mClock.monotonicMs();
        long wallClockOffsetMs = Term.wallClockOffsetMs(mClock);
        mClock.suspendVm(10_000);
        mTerm.extendLease(requestedAtMs + 2_000, wallClockOffsetMs);
        assertThat(mTerm.isLeaseValid()).isFalse();
        extendLease();
        assertThat(mTerm.isLeaseValid()).isTrue();
    }

    /** Guards against a late reply to an earlier renewal that undoes a newer one. */
    @Test
    void replyToAnEarlierRenewalHasNoEffect() {
        long requestedAtMs = mClock.monotonicMs();
        long wallClockOffsetMs = Term.wallClockOffsetMs(mClock);
        mClock.suspendVm(10_000);
        mClock.advance(100);
        extendLease();
        mTerm.extendLease(requestedAtMs + 2_000, wallClockOffsetMs);
        assertThat(mTerm.isLeaseValid()).isTrue();
    }

    /** An owner that was fenced off must not resume under the same epoch. */
    @Test
    void renewalDoesNotReviveAnEndedTerm() {
        mTerm.end();
        extendLease();
        assertThat(mTerm.isLeaseValid()).isFalse();
    }

    private void extendLease() {
        mTerm.extendLease(mClock.monotonicMs() + 2_000, Term.wallClockOffsetMs(mClock));
    }
}
