package org.lycheeroad.benchmarks;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.topology.WorkerInfo;

/**
 * Measures idle accelerators over time, up to the last arrival.
 *
 * <p>Each sample places the waiting gangs on the idle accelerators, largest first. Accelerators
 * that this leaves idle are unusable if some gang did not fit. The placement ignores rack
 * constraints of shapes.
 */
final class IdleCapacity {
    private final long mUntilMs;
    private final int mAccelerators;

    /** How long exactly this number of workers had idle accelerators, by index. */
    private final long[] mMillisByIdleWorkers;

    private final Set<JobId> mBlockedOnArrival = new HashSet<>();
    private long mLastSampleMs;
    private long mMillis;
    private long mUnusableAcceleratorMillis;
    private long mUnusedAcceleratorMillis;

    IdleCapacity(List<WorkerInfo> workers, long untilMs) {
        mAccelerators = workers.stream().mapToInt(WorkerInfo::accelerators).sum();
        mMillisByIdleWorkers = new long[workers.size() + 1];
        mUntilMs = untilMs;
    }

    /** Records whether a gang fits on the idle accelerators when it arrives. */
    void recordArrival(JobSpec spec, int[] idleByWorker) {
        if (!placeBestFit(spec.shape(), idleByWorker.clone())) {
            mBlockedOnArrival.add(spec.id());
        }
    }

    boolean wasBlockedOnArrival(JobId job) {
        return mBlockedOnArrival.contains(job);
    }

    /** Accounts for the time since the previous sample, during which nothing changed. */
    void sample(long nowMs, int[] idleByWorker, List<Shape> waiting) {
        long millis = Math.min(nowMs, mUntilMs) - mLastSampleMs;
        if (millis <= 0) {
            return;
        }
        mLastSampleMs += millis;
        mMillis += millis;
        mMillisByIdleWorkers[(int) Arrays.stream(idleByWorker).filter(idle -> idle > 0).count()] +=
                millis;
        int idle = Arrays.stream(idleByWorker).sum();
        int[] remainingByWorker = idleByWorker.clone();
        List<Shape> order = new ArrayList<>(waiting);
        order.sort(Comparator.comparingInt(shape -> -shape.accelerators()));
        boolean someDoNotFit = false;
        for (Shape shape : order) {
            someDoNotFit |= !placeBestFit(shape, remainingByWorker);
        }
        int remaining = Arrays.stream(remainingByWorker).sum();
        mUnusedAcceleratorMillis += (idle - remaining) * millis;
        mUnusableAcceleratorMillis += someDoNotFit ? remaining * millis : 0;
    }

    String summary() {
        return String.format(
                "idle and of no use to a waiting gang: %.1f%%; idle although a waiting gang fits:"
                        + " %.1f%%; largest gang of one per worker that could start: p10 %d,"
                        + " median %d, time for 16: %.1f%%, for 32: %.1f%%",
                percentOfCapacity(mUnusableAcceleratorMillis),
                percentOfCapacity(mUnusedAcceleratorMillis),
                largestGangAtQuantile(0.1),
                largestGangAtQuantile(0.5),
                percentOfTimeWithRoomFor(16),
                percentOfTimeWithRoomFor(32));
    }

    private double percentOfCapacity(long acceleratorMillis) {
        return 100.0 * acceleratorMillis / ((double) mAccelerators * mMillis);
    }

    private int largestGangAtQuantile(double quantile) {
        long cumulativeMillis = 0;
        for (int i = 0; i < mMillisByIdleWorkers.length; i++) {
            cumulativeMillis += mMillisByIdleWorkers[i];
            if (cumulativeMillis > quantile * mMillis) {
                return i;
            }
        }
        return mMillisByIdleWorkers.length - 1;
    }

    private double percentOfTimeWithRoomFor(int size) {
        long millis = Arrays.stream(mMillisByIdleWorkers).skip(size).sum();
        return 100.0 * millis / mMillis;
    }

    /** Places a shape by best fit if it fits, and returns whether it did. */
    private static boolean placeBestFit(Shape shape, int[] idleByWorker) {
        int perWorker = shape.acceleratorsPerWorker();
        List<Integer> fitting = new ArrayList<>();
        for (int i = 0; i < idleByWorker.length; i++) {
            if (idleByWorker[i] >= perWorker) {
                fitting.add(i);
            }
        }
        if (fitting.size() < shape.workers()) {
            return false;
        }
        fitting.sort(Comparator.comparingInt(i -> idleByWorker[i]));
        fitting.subList(0, shape.workers()).forEach(i -> idleByWorker[i] -= perWorker);
        return true;
    }
}
