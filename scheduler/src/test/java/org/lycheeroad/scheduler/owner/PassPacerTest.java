package org.lycheeroad.scheduler.owner;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class PassPacerTest {
    private final PassPacer mPacer = new PassPacer();

    @Test
    void firstPassAndPassesAfterShortOnesBeginAtOnce() {
        assertThat(mPacer.delayMs(1_000)).isZero();
        mPacer.onPass(1_000, 1_000);
        assertThat(mPacer.delayMs(1_000)).isZero();
    }

    /**
     * Guards against passes that keep the owner from its messages: 258 reports of workers arrive
     * within some milliseconds, and a pass of a new process takes 5 ms.
     */
    @Test
    void passesTakeHalfOfTheTimeWhileReportsArrive() {
        long nowMs = 1_000;
        int passes = 0;
        for (int report = 0; report < 258; report++) {
            nowMs += 1;
            if (mPacer.delayMs(nowMs) == 0) {
                mPacer.onPass(nowMs, nowMs + 5);
                nowMs += 5;
                passes++;
            }
        }
        assertThat(nowMs - 1_000).isLessThan(258 * 2 + 10);
        assertThat(passes).isGreaterThan(30);
    }

    /** Guards against a pause that follows from a process that stood still during a pass. */
    @Test
    void pauseIsBounded() {
        mPacer.onPass(1_000, 6_000);
        assertThat(mPacer.delayMs(6_000)).isEqualTo(50);
    }
}
