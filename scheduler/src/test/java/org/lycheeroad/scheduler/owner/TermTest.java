package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class TermTest {
    private final ManualClock mClock = new ManualClock();
    private final Term mTerm = new Term(7, 10, 3, mClock);

    TermTest() {
        mTerm.extend(mClock.monotonicMs() + 2_000);
    }

    /** An owner that acts after its lease may meet the next one. */
    @Test
    void permissionEndsWithTheLease() {
        mClock.pass(1_999);
        assertThat(mTerm.mayAct()).isTrue();
        mClock.pass(1);
        assertThat(mTerm.mayAct()).isFalse();
    }

    /** The steady clock stands still while a VM is suspended; the lease does not. */
    @Test
    void suspensionEndsThePermissionUntilTheNextRenewal() {
        mClock.suspend(10_000);
        assertThat(mTerm.mayAct()).isFalse();
        mTerm.extend(mClock.monotonicMs() + 2_000);
        assertThat(mTerm.mayAct()).isTrue();
    }

    /** A refused owner must not come back under the same epoch. */
    @Test
    void endedTermStaysEnded() {
        mTerm.end();
        mTerm.extend(mClock.monotonicMs() + 2_000);
        assertThat(mTerm.mayAct()).isFalse();
    }
}
