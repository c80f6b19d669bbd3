package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TermTest {
    private final ManualClock mClock = new ManualClock();
    private final Term mTerm = new Term(7, 10, 3, mClock);

    TermTest() {
        mTerm.extendLease(mClock.monotonicMs() + 2_000);
    }

    /** An owner that acts after its lease may meet the next one. */
    @Test
    void leaseIsInvalidOnceItExpires() {
        mClock.advance(1_999);
        assertThat(mTerm.isLeaseValid()).isTrue();
        mClock.advance(1);
        assertThat(mTerm.isLeaseValid()).isFalse();
    }

    /** The steady clock stands still while a VM is suspended; the lease does not. */
    @Test
    void vmSuspensionInvalidatesTheLeaseUntilTheNextRenewal() {
        mClock.suspendVm(10_000);
        assertThat(mTerm.isLeaseValid()).isFalse();
        mTerm.extendLease(mClock.monotonicMs() + 2_000);
        assertThat(mTerm.isLeaseValid()).isTrue();
    }

    /** A refused owner must not come back under the same epoch. */
    @Test
    void renewalDoesNotReviveAnEndedTerm() {
        mTerm.end();
        mTerm.extendLease(mClock.monotonicMs() + 2_000);
        assertThat(mTerm.isLeaseValid()).isFalse();
    }
}
