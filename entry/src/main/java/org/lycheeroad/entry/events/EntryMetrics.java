package org.lycheeroad.entry.events;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The metrics of one entry; docs/OPERATIONS.md lists them. */
public final class EntryMetrics {
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> mCounterByKey = new ConcurrentHashMap<>();

    /** Registers a gauge that is read on every scrape. */
    public void registerGauge(String name, String label, String value, Supplier<Number> read) {
        io.micrometer.core.instrument.Gauge.builder(name, read)
                .tags(label.isEmpty() ? Tags.empty() : Tags.of(label, value))
                .strongReference(true)
                .register(mRegistry);
    }

    /** Registers a counter that is kept elsewhere and read on every scrape. */
    public void registerCounter(String name, String label, String value, Supplier<Long> read) {
        io.micrometer.core.instrument.FunctionCounter.builder(name, read, r -> (double) r.get())
                .tags(Tags.of(label, value))
                .register(mRegistry);
    }

    /** Adds to a counter with one label. */
    public void incrementCounter(String name, String label, String value, double amount) {
        mCounterByKey
                .computeIfAbsent(
                        name + '\n' + value, k -> mRegistry.counter(name, Tags.of(label, value)))
                .increment(amount);
    }

    /** Counts messages that a full ring refused. */
    public void countShed(String duty) {
        incrementCounter("lycheeroad.duty.shed", "duty", duty, 1);
    }

    /** Counts a request by what its caller was told. */
    public void countRequest(String outcome) {
        incrementCounter("lycheeroad.requests", "outcome", outcome, 1);
    }

    /** Counts an attempt at a target by how it ended. */
    public void countAttempt(String end) {
        incrementCounter("lycheeroad.attempts", "end", end, 1);
    }

    /** Counts bytes sent to and received from targets in another region, heads included. */
    public void countInterRegionBytes(long sent, long received) {
        if (sent > 0) {
            incrementCounter("lycheeroad.region.bytes", "direction", "sent", (double) sent);
        }
        if (received > 0) {
            incrementCounter("lycheeroad.region.bytes", "direction", "received", (double) received);
        }
    }

    /** Returns the text of a scrape. */
    public String scrape() {
        return mRegistry.scrape();
    }
}
