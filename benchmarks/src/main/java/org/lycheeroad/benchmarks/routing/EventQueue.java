package org.lycheeroad.benchmarks.routing;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * The event queue of a discrete-event simulation.
 *
 * <p>Runs events in order of simulated time; events with the same time run in the order in which
 * they were scheduled.
 */
final class EventQueue {
    private record Event(long atMicros, long sequence, Runnable action) {}

    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long mNowMicros;
    private long mSequence;

    long nowMicros() {
        return mNowMicros;
    }

    void at(long atMicros, Runnable action) {
        mEvents.add(new Event(Math.max(mNowMicros, atMicros), mSequence++, action));
    }

    void after(long delayMicros, Runnable action) {
        at(mNowMicros + delayMicros, action);
    }

    /**
     * Schedules a periodic action.
     *
     * @param firstMicros the time of the first run
     * @param untilMicros the exclusive end of the runs
     */
    void every(long firstMicros, long intervalMicros, long untilMicros, Runnable action) {
        if (firstMicros < untilMicros) {
            at(
                    firstMicros,
                    () -> {
                        action.run();
                        every(mNowMicros + intervalMicros, intervalMicros, untilMicros, action);
                    });
        }
    }

    void runUntil(long endMicros) {
        while (!mEvents.isEmpty() && mEvents.peek().atMicros() <= endMicros) {
            Event event = mEvents.poll();
            mNowMicros = event.atMicros();
            event.action().run();
        }
    }
}
