package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TermTest {
    private final ManualClock mClock = new ManualClock();
    private final Term mTerm = new Term(7, 10, 3, mClock);

    TermTest() {
        mTerm.extendLease(mClock.monotonicMs() + 2_000);
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
        mTerm.extendLease(mClock.monotonicMs() + 2_000);
        assertThat(mTerm.isLeaseValid()).isTrue();
    }

    /** An owner that was fenced off must not resume under the same epoch. */
    @Test
    void renewalDoesNotReviveAnEndedTerm() {
        mTerm.end();
        mTerm.extendLease(mClock.monotonicMs() + 2_000);
        assertThat(mTerm.isLeaseValid()).isFalse();
    }
}
