package org.lycheeroad.coordination.jobs;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntToDoubleFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.WorkerId;

/** Speeds that are learned from runs whose tasks differ by a quarter. */
class FleetSpeedsTest {
    private static final int WORKERS = 40;
    private static final double TASK_SPREAD = 0.25;

    /** The geometric mean of the two speeds. */
    private static final double MIDDLE = 0.81;

    private static final long SECOND_MS = 1_000;

    private final FleetSpeeds mSpeeds = new FleetSpeeds();
    private final List<Worker> mWorkers = new ArrayList<>();
    private final Random mRandom = new Random(1);
    private long mNowMs;

    FleetSpeedsTest() {
        for (int i = 0; i < WORKERS; i++) {
            Worker worker = new Worker(new WorkerId("w" + i));
            worker.registered = true;
            mWorkers.add(worker);
        }
    }

    /** Observes one run on each worker. */
    private void observe(IntToDoubleFunction speedOf) {
        for (int i = 0; i < WORKERS; i++) {
            double task = Math.exp(TASK_SPREAD * mRandom.nextGaussian());
            mWorkers.get(i).speed.add(speedOf.applyAsDouble(i) * task);
        }
        mNowMs += SECOND_MS;
        mSpeeds.update(mWorkers, mNowMs);
    }

    private static double quarterSlow(int worker) {
        return worker % 4 == 0 ? 0.55 : 1.2;
    }

    @Nested
    class Even {
        /** Guards against decisions by chance differences between tasks. */
        @Test
        void differentTasksDoNotMakeTheFleetUneven() {
            for (int i = 0; i < 20; i++) {
                observe(worker -> 1);
                assertThat(mSpeeds.isUneven()).isFalse();
            }
        }
    }

    @Nested
    class Uneven {
        /** Guards against decisions without speeds for long after a change of owner. */
        @Test
        void twoRunsTellSlowWorkersFromFastOnes() {
            observe(FleetSpeedsTest::quarterSlow);
            observe(FleetSpeedsTest::quarterSlow);
            assertThat(mSpeeds.isUneven()).isTrue();
            int wrong = 0;
            for (int i = 0; i < WORKERS; i++) {
                boolean slow = mWorkers.get(i).speed.value() < MIDDLE;
                wrong += slow == (quarterSlow(i) < MIDDLE) ? 0 : 1;
            }
            assertThat(wrong).isLessThanOrEqualTo(WORKERS / 20);
        }

        /** Guards against a worker that counts as fast long after it has turned slow. */
        @Test
        void changedSpeedReplacesTheOldOne() {
            for (int i = 0; i < 20; i++) {
                observe(FleetSpeedsTest::quarterSlow);
            }
            assertThat(mWorkers.get(1).speed.value()).isGreaterThan(1);
            for (int i = 0; i < 8; i++) {
                observe(worker -> worker == 1 ? 0.55 : quarterSlow(worker));
            }
            assertThat(mWorkers.get(1).speed.value()).isLessThan(0.85);
        }
    }
}
