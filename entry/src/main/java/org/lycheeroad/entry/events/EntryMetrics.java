package org.lycheeroad.entry.events;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Tags;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** Prometheus metrics of one entry; docs/OPERATIONS.md lists them. */
public final class EntryMetrics {
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Map<String, Counter> mCounterByKey = new ConcurrentHashMap<>();

    /** Registers a gauge whose value is read on each scrape; an empty label means no label. */
    public void registerGauge(
            String name, String labelName, String labelValue, Supplier<Number> valueSupplier) {
        io.micrometer.core.instrument.Gauge.builder(name, valueSupplier)
                .tags(labelName.isEmpty() ? Tags.empty() : Tags.of(labelName, labelValue))
                .strongReference(true)
                .register(mRegistry);
    }

    /** Registers a counter that is maintained elsewhere and read on each scrape. */
    public void registerCounter(
            String name, String labelName, String labelValue, Supplier<Long> valueSupplier) {
        io.micrometer.core.instrument.FunctionCounter.builder(
                        name, valueSupplier, supplier -> (double) supplier.get())
                .tags(Tags.of(labelName, labelValue))
                .register(mRegistry);
    }

    /** Adds an amount to a counter with one label. */
    public void incrementCounter(String name, String labelName, String labelValue, double amount) {
        mCounterByKey
                .computeIfAbsent(
                        name + '\n' + labelValue,
                        key -> mRegistry.counter(name, Tags.of(labelName, labelValue)))
                .increment(amount);
    }

    /** Counts one message or request shed because a queue or buffer limit was reached. */
    public void countShed(String component) {
        incrementCounter("lycheeroad.duty.shed", "duty", component, 1);
    }

    /** Counts a request by the outcome reported to its caller. */
    public void countRequest(String outcome) {
        incrementCounter("lycheeroad.requests", "outcome", outcome, 1);
    }

    /** Counts an attempt by its outcome. */
    public void countAttempt(String end) {
        incrementCounter("lycheeroad.attempts", "end", end, 1);
    }

    /** Counts bytes exchanged with targets in other regions, including message heads. */
    public void countInterRegionBytes(long sentBytes, long receivedBytes) {
        if (sentBytes > 0) {
            incrementCounter("lycheeroad.region.bytes", "direction", "sent", (double) sentBytes);
        }
        if (receivedBytes > 0) {
            incrementCounter(
                    "lycheeroad.region.bytes", "direction", "received", (double) receivedBytes);
        }
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return mRegistry.scrape();
    }
}
