package org.lycheeroad.scheduler.log;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** The counters and latency histograms of a daemon. */
public final class NodeMetrics {
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Counter mWorkerPolls = mRegistry.counter("lycheeroad_looks");
    private final Counter mUnreadableRecords = mRegistry.counter("lycheeroad_unreadable_records");
    private final Timer mOrderLatency = timer("lycheeroad_order_latency");
    private final Timer mCallLatency = timer("lycheeroad_accept_latency");

    /** Counts a poll of a worker. */
    public void countWorkerPoll() {
        mWorkerPolls.increment();
    }

    /** Counts a value in the store that cannot be parsed and is skipped. */
    public void countUnreadableRecord() {
        mUnreadableRecords.increment();
    }

    /** Records the latency of a start order to a worker. */
    public void recordOrderLatency(long latencyMs) {
        mOrderLatency.record(latencyMs, TimeUnit.MILLISECONDS);
    }

    /** Records the latency of an API call. */
    public void recordCallLatency(long latencyMs) {
        mCallLatency.record(latencyMs, TimeUnit.MILLISECONDS);
    }

    /** Counts a response to an API call. */
    public void countResponse(String call, int status) {
        mRegistry
                .counter("lycheeroad_answers", "call", call, "status", Integer.toString(status))
                .increment();
    }

    /** Counts a call to the metadata store. */
    public void countStoreCall(String call, String outcome) {
        mRegistry.counter("lycheeroad_store_calls", "call", call, "outcome", outcome).increment();
    }

    /**
     * Counts a stopped run and the work thrown away with it.
     *
     * @param reason the name of the reason for the stop
     * @param priority the priority of the run's queue
     */
    public void countStoppedRun(String reason, int priority, double lostCoreSeconds) {
        String level = Integer.toString(priority);
        mRegistry
                .counter("lycheeroad_stopped_runs", "reason", reason, "priority", level)
                .increment();
        mRegistry
                .counter("lycheeroad_lost_core_seconds", "reason", reason, "priority", level)
                .increment(lostCoreSeconds);
    }

    /** Registers a gauge whose value is read at each scrape. */
    public void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).strongReference(true).register(mRegistry);
    }

    /** Returns all metrics in the Prometheus text format. */
    public String scrape() {
        return mRegistry.scrape();
    }

    private Timer timer(String name) {
        return Timer.builder(name).publishPercentiles(0.5, 0.99).register(mRegistry);
    }
}
