package org.lycheeroad.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetHealthTest {
    private static final long EJECTION = TargetHealth.FIRST_EJECTION_MICROS;

    private final TargetHealth mHealth = new TargetHealth();

    private void fail(int times) {
        for (int i = 0; i < times; i++) {
            mHealth.recordFailure(true, 0);
        }
    }

    @Nested
    class Ejection {
        /** Guards against an ejection after failures that an answer has interrupted. */
        @Test
        void onlyAfterFailuresInRow() {
            fail(2);
            mHealth.recordAnswer(false, true, 0);
            fail(2);
            assertThat(mHealth.isEjected()).isFalse();
            fail(1);
            assertThat(mHealth.isEjected()).isTrue();
        }

        /** Guards against ejecting the last healthy half of the targets. */
        @Test
        void notWhenTooManyAreEjected() {
            for (int i = 0; i < 20; i++) {
                mHealth.recordFailure(false, 0);
                mHealth.recordAnswer(true, false, 0);
            }
            assertThat(mHealth.isEjected()).isFalse();
        }

        /** Guards against probes that come too early or that each cost ten callers an error. */
        @Test
        void errorAnswerToProbeEjectsForTwiceAsLong() {
            fail(3);
            assertThat(mHealth.mayProbe(EJECTION - 1)).isFalse();
            assertThat(mHealth.mayProbe(EJECTION)).isTrue();
            mHealth.recordAnswer(true, true, EJECTION);
            assertThat(mHealth.mayProbe(3 * EJECTION - 1)).isFalse();
            assertThat(mHealth.mayProbe(3 * EJECTION)).isTrue();
        }
    }

    @Nested
    class Return {
        /** Guards against full load on a target that has just come back. */
        @Test
        void warmsUpSlowly() {
            fail(3);
            mHealth.recordAnswer(false, true, EJECTION);
            assertThat(mHealth.isEjected()).isFalse();
            assertThat(mHealth.slowStartFraction(EJECTION)).isLessThan(0.2);
            assertThat(mHealth.slowStartFraction(EJECTION + TargetHealth.SLOW_START_MICROS))
                    .isEqualTo(1);
        }
    }

    @Nested
    class Refusal {
        /** Guards against new work for a target that said that it is leaving. */
        @Test
        void drainingOutlastsBusy() {
            mHealth.recordDraining(0);
            mHealth.recordRefusal(1);
            assertThat(mHealth.isPaused(30_000_000)).isTrue();
        }
    }
}
