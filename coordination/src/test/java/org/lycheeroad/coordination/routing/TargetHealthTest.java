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
        /** Guards against counting failures before and after a successful answer together. */
        @Test
        void requiresConsecutiveFailures() {
            recordFailures(2);
            mHealth.recordAnswer(false, true, 0);
            recordFailures(2);
            assertThat(mHealth.isEjected()).isFalse();
            recordFailures(1);
            assertThat(mHealth.isEjected()).isTrue();
        }

        /** Guards against ejection although too many other targets are ejected. */
        @Test
        void isOmittedIfNotAllowed() {
            for (int i = 0; i < 20; i++) {
                mHealth.recordFailure(false, 0);
                mHealth.recordAnswer(true, false, 0);
            }
            assertThat(mHealth.isEjected()).isFalse();
        }

        /**
         * Guards against probes that are sent too early, and against ten error answers to callers
         * before a failed probe ejects the target again.
         */
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
        /** Guards against full load on a target right after its ejection. */
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
        /** Guards against new requests to a target that reported its shutdown. */
        @Test
        void doesNotShortenDrainingPause() {
            mHealth.recordDraining(0);
            mHealth.recordRefusal(1);
            assertThat(mHealth.isPaused(30_000_000)).isTrue();
        }
    }
}
