package org.lycheeroad.transport.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The parts that keep an entry within its share of the store's rates. */
final class RateLimitedStoreClientTest {
    private static final long NANOS_PER_MS = 1_000_000;

    @Nested
    final class RateLimit {
        /** Guards against more calls than the rate, and against jobs that starve roles. */
        @Test
        void bucketLimitsTheRateAndKeepsTheReserve() {
            TokenBucket bucket = new TokenBucket(40, 20, 0);
            int ordinary = 0;
            for (long now = 0; now <= 10_000; now++) {
                ordinary += bucket.tryAcquire(4, now * NANOS_PER_MS) ? 1 : 0;
            }
            assertThat(ordinary).isBetween(390, 420);
            assertThat(bucket.tryAcquire(0, 10_000 * NANOS_PER_MS)).isTrue();
        }
    }

    @Nested
    final class Outage {
        /** Guards against entries that all call at once when the store is back. */
        @Test
        void eightEntriesStayBelowTheStoresRateDuringAnOutage() {
            int calls = 0;
            for (int entry = 0; entry < 8; entry++) {
                CircuitBreaker breaker =
                        new CircuitBreaker(new ExponentialBackoff(400, 1_000, new Random(entry)));
                for (long now = 0; now < 10_000; now += 10) {
                    if (breaker.tryAcquire(now * NANOS_PER_MS)) {
                        calls++;
                        breaker.onFailure(now * NANOS_PER_MS);
                    }
                }
                assertThat(breaker.isOpen()).isTrue();
            }
            assertThat(calls).isLessThan(8 * 10 * 3);
        }

        /** Guards against a breaker that stays open after the store is back. */
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
