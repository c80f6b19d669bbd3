package org.lycheeroad.coordination.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class TargetHealthTest {
    private static final long EJECTION_MICROS = TargetHealth.FIRST_EJECTION_MICROS;

    private final TargetHealth mHealth = new TargetHealth();

    private void recordFailures(int times) {
        for (int i = 0; i < times; i++) {
            mHealth.recordFailure(true, 0);
        }
    }

    @Nested
    class Ejection {
        /** Guards against an ejection after failures that an answer has interrupted. */
        @Test
        void requiresConsecutiveFailures() {
            recordFailures(2);
            mHealth.recordAnswer(false, true, 0);
            recordFailures(2);
            assertThat(mHealth.isEjected()).isFalse();
            recordFailures(1);
            assertThat(mHealth.isEjected()).isTrue();
        }

        /** Guards against ejecting the last healthy half of the targets. */
        @Test
        void isOmittedIfNotAllowed() {
            for (int i = 0; i < 20; i++) {
                mHealth.recordFailure(false, 0);
                mHealth.recordAnswer(true, false, 0);
            }
            assertThat(mHealth.isEjected()).isFalse();
        }

        /** Guards against probes that come too early or that each cost ten callers an error. */
        @Test
        void doublesAfterFailedProbe() {
            recordFailures(3);
            assertThat(mHealth.mayProbe(EJECTION_MICROS - 1)).isFalse();
            assertThat(mHealth.mayProbe(EJECTION_MICROS)).isTrue();
            mHealth.recordAnswer(true, true, EJECTION_MICROS);
            assertThat(mHealth.mayProbe(3 * EJECTION_MICROS - 1)).isFalse();
            assertThat(mHealth.mayProbe(3 * EJECTION_MICROS)).isTrue();
        }
    }

    @Nested
    class AfterEjection {
        /** Guards against full load on a target that has just come back. */
        @Test
        void startsSlowly() {
            recordFailures(3);
            mHealth.recordAnswer(false, true, EJECTION_MICROS);
            assertThat(mHealth.isEjected()).isFalse();
            assertThat(mHealth.slowStartFraction(EJECTION_MICROS)).isLessThan(0.2);
            assertThat(mHealth.slowStartFraction(EJECTION_MICROS + TargetHealth.SLOW_START_MICROS))
                    .isEqualTo(1);
        }
    }

    @Nested
    class Refusal {
        /** Guards against new work for a target that said that it is leaving. */
        @Test
        void doesNotShortenDrainingPause() {
            mHealth.recordDraining(0);
            mHealth.recordRefusal(1);
            assertThat(mHealth.isPaused(30_000_000)).isTrue();
        }
    }
}
