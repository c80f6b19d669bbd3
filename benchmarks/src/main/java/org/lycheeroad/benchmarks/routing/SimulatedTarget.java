package org.lycheeroad.benchmarks.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.BiConsumer;
import org.lycheeroad.coordination.routing.AttemptOutcome;

/**
 * A simulated target with a fixed number of slots and a first-in, first-out queue.
 *
 * <p>An attempt that has started occupies its slot until it ends, even if the entry has closed the
 * connection.
 */
final class SimulatedTarget {
    private static final int CONNECTIONS = 64;
    private static final double SLOW_FACTOR = 10;
    private static final long ERROR_SERVICE_MICROS = 2_000;

    /** An attempt to run a request at the target. */
    static final class Attempt {
        final long mServiceMicros;
        final Runnable mOnStarted;
        final BiConsumer<AttemptOutcome, Long> mOnEnded;
        boolean mClosed;

        /**
         * Creates an attempt.
         *
         * @param onEnded called with the outcome and the time at which the target sends it
         */
        Attempt(long serviceMicros, Runnable onStarted, BiConsumer<AttemptOutcome, Long> onEnded) {
            mServiceMicros = serviceMicros;
            mOnStarted = onStarted;
            mOnEnded = onEnded;
        }
    }

    private final EventQueue mEventQueue;
    private final boolean mRefuseWhenBusy;
    private final List<Scenario.Fault> mFaults;
    private final Deque<Attempt> mQueue = new ArrayDeque<>();
    private int mRunning;
    private double mBusyMicros;

    SimulatedTarget(EventQueue eventQueue, boolean refuseWhenBusy, List<Scenario.Fault> faults) {
        mEventQueue = eventQueue;
        mRefuseWhenBusy = refuseWhenBusy;
        mFaults = faults;
    }

    void receive(Attempt attempt) {
        mQueue.removeIf(queued -> queued.mClosed);
        if (hasFault(Scenario.Fault.Kind.BREAKING)) {
            attempt.mOnEnded.accept(AttemptOutcome.BROKEN, mEventQueue.nowMicros());
        } else if (mRunning < Scenario.SLOTS_PER_TARGET) {
            start(attempt);
        } else if (mRefuseWhenBusy || mRunning + mQueue.size() >= CONNECTIONS) {
            attempt.mOnEnded.accept(AttemptOutcome.REFUSED_NOT_RUN, mEventQueue.nowMicros());
        } else {
            mQueue.add(attempt);
        }
    }

    double busyMicros() {
        return mBusyMicros;
    }

    private void start(Attempt attempt) {
        mRunning++;
        attempt.mOnStarted.run();
        boolean errors = hasFault(Scenario.Fault.Kind.ERRORS);
        long serviceMicros = errors ? ERROR_SERVICE_MICROS : attempt.mServiceMicros;
        if (hasFault(Scenario.Fault.Kind.SLOW)) {
            serviceMicros = (long) (serviceMicros * SLOW_FACTOR);
        }
        long endMicros = mEventQueue.nowMicros() + serviceMicros;
        for (Scenario.Fault fault : mFaults) {
            // A frozen target continues when the fault ends.
            if (fault.kind() == Scenario.Fault.Kind.FROZEN
                    && mEventQueue.nowMicros() < fault.untilMicros()
                    && endMicros > fault.fromMicros()) {
                endMicros +=
                        fault.untilMicros() - Math.max(mEventQueue.nowMicros(), fault.fromMicros());
            }
        }
        mBusyMicros += endMicros - mEventQueue.nowMicros();
        mEventQueue.at(
                endMicros,
                () -> {
                    mRunning--;
                    attempt.mOnEnded.accept(
                            errors ? AttemptOutcome.FAILED_WHOLE : AttemptOutcome.WHOLE,
                            mEventQueue.nowMicros());
                    startNext();
                });
    }

    private void startNext() {
        while (mRunning < Scenario.SLOTS_PER_TARGET && !mQueue.isEmpty()) {
            Attempt next = mQueue.removeFirst();
            if (!next.mClosed) {
                start(next);
            }
        }
    }

    private boolean hasFault(Scenario.Fault.Kind kind) {
        return mFaults.stream()
                .anyMatch(
                        fault ->
                                fault.kind() == kind
                                        && mEventQueue.nowMicros() >= fault.fromMicros()
                                        && mEventQueue.nowMicros() < fault.untilMicros());
    }
}
