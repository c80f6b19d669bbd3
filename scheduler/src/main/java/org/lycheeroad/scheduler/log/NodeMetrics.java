package org.lycheeroad.scheduler.log;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** The counters and latency histograms of a daemon. */
public final class NodeMetrics {
    private final PrometheusMeterRegistry mRegistry =
            new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Counter mWorkerPolls = mRegistry.counter("lycheeroad_looks");
    private final Counter mUnreadableRecords = mRegistry.counter("lycheeroad_unreadable_records");
    private final Timer mOrderLatency = timer("lycheeroad_order_latency");
    private final Timer mCallLatency = timer("lycheeroad_accept_latency");
    private final Timer mConfigWait = timer("lycheeroad_config_wait");

    private final AtomicInteger mEvacuatedDomains =
            mRegistry.gauge("lycheeroad_evacuated_domains", new AtomicInteger());

    /** Sets the number of failure domains in which this daemon, as owner, starts no runs. */
    public void setEvacuatedDomainCount(int count) {
        mEvacuatedDomains.set(count);
    }

    /** Counts a poll of a worker. */
    public void countWorkerPoll() {
        mWorkerPolls.increment();
    }

    /**
     * Counts a step that gives way under overload.
     *
     * @param expected the name of what is expected of the step
     * @param priority the priority of its queue
     */
    public void countGivenWay(String expected, int priority) {
        mRegistry
                .counter(
                        "lycheeroad_steps_given_way",
                        "expected",
                        expected,
                        "priority",
                        Integer.toString(priority))
                .increment();
    }

    /**
     * Counts a run that is taken as over without a reported end.
     *
     * @param cause the name of the cause
     */
    public void countDroppedRun(String cause) {
        mRegistry.counter("lycheeroad_dropped_runs", "cause", cause).increment();
    }

    /**
     * Counts a report of a step that waits beside free workers.
     *
     * @param cause the name of the cause
     */
    public void countStalledStep(String cause) {
        mRegistry.counter("lycheeroad_stalled_steps", "cause", cause).increment();
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

    /** Records for how long an API call waited for the configuration under which it is judged. */
    public void recordConfigWait(long waitedMs) {
        mConfigWait.record(waitedMs, TimeUnit.MILLISECONDS);
    }

    /** Counts a revalidation of the configuration by who answered it. */
    public void countConfigRevalidation(String answeredBy) {
        mRegistry.counter("lycheeroad_config_revalidations", "answered_by", answeredBy).increment();
    }

    /** Counts a response to an API call. */
    public void countResponse(String call, int status) {
        mRegistry
                .counter("lycheeroad_answers", "call", call, "status", Integer.toString(status))
                .increment();
    }

    /** Counts a job that was refused because of the load. */
    public void countRefusal(String reason, int priority) {
        mRegistry
                .counter(
                        "lycheeroad_refused_jobs",
                        "reason",
                        reason,
                        "priority",
                        Integer.toString(priority))
                .increment();
    }

    /** Counts a call to the metadata store. */
    public void countStoreCall(String call, String outcome) {
        mRegistry.counter("lycheeroad_store_calls", "call", call, "outcome", outcome).increment();
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
