package org.lycheeroad.transport.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/**
 * Tests the token bucket and the circuit breaker, which keep an entry within its share of the
 * store's rates.
 */
final class RateLimitedStoreClientTest {
    private static final long NANOS_PER_MS = 1_000_000;

    @Nested
    final class RateLimit {
        /**
         * Guards against calls beyond the rate, and against ordinary calls that use up the tokens
         * reserved for roles.
         */
        @Test
        void bucketLimitsTheRateAndKeepsTheReserve() {
            TokenBucket bucket = new TokenBucket(40, 20, 0);
            int ordinary = 0;
            for (long nowMs = 0; nowMs <= 10_000; nowMs++) {
                ordinary += bucket.tryAcquire(4, nowMs * NANOS_PER_MS) ? 1 : 0;
            }
            assertThat(ordinary).isBetween(390, 420);
            assertThat(bucket.tryAcquire(0, 10_000 * NANOS_PER_MS)).isTrue();
        }
    }

    @Nested
    final class Outage {
        /** Guards against a burst of calls from all entries when the store recovers. */
        @Test
        void eightEntriesStayBelowTheStoresRateDuringAnOutage() {
            int calls = 0;
            for (int entry = 0; entry < 8; entry++) {
                CircuitBreaker breaker =
                        new CircuitBreaker(new ExponentialBackoff(400, 1_000, new Random(entry)));
                for (long nowMs = 0; nowMs < 10_000; nowMs += 10) {
                    if (breaker.tryAcquire(nowMs * NANOS_PER_MS)) {
                        calls++;
                        breaker.onFailure(nowMs * NANOS_PER_MS);
                    }
                }
                assertThat(breaker.isOpen()).isTrue();
            }
            assertThat(calls).isLessThan(8 * 10 * 3);
        }

        /** Guards against a breaker that stays open after the store has recovered. */
        @Test
        void oneSuccessClosesTheBreaker() {
            CircuitBreaker breaker =
                    new CircuitBreaker(new ExponentialBackoff(400, 1_000, new Random(1)));
            for (int i = 0; i < 3; i++) {
                breaker.onFailure(0);
            }
            assertThat(breaker.tryAcquire(NANOS_PER_MS)).isFalse();
            assertThat(breaker.tryAcquire(1_000 * NANOS_PER_MS)).isTrue();
            breaker.onSuccess();
            assertThat(breaker.tryAcquire(1_001 * NANOS_PER_MS)).isTrue();
        }
    }
}
