package org.lycheeroad.scheduler.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.lycheeroad.coordination.admission.AdmissionPolicy;
import org.lycheeroad.coordination.admission.KnownLoad;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.state.work.JobPlan;
import org.lycheeroad.state.work.LoadSummary;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.ServiceLoad.CommittedWork;
import org.lycheeroad.state.work.ServiceName;

/**
 * Keeps the newest summary of the load and what this daemon has accepted since.
 *
 * <p>The summary is fetched from the owner only while callers submit jobs. It is not waited for.
 */
public final class LoadTracker {
    /** Fetches the present summary; empty if the owner has none or does not respond. */
    public interface Source {
        CompletableFuture<Optional<LoadSummary>> fetch();
    }

    private static final long REFRESH_INTERVAL_MS = 1_000;

    /** The interval while a refusal is far off; a backlog takes longer to grow. */
    private static final long IDLE_REFRESH_INTERVAL_MS = 4_000;

    /** Longer than any call takes; a fetch without an answer by then is repeated. */
    private static final long LOST_AFTER_MS = 3_000;

    /** The time that committed work may take in all for the load to count as low. */
    private static final long LOW_LOAD_MS = 4_000;

    private record AcceptedWork(ServiceName service, CommittedWork work, long atMs) {}

    private final Source mSource;
    private final Supplier<OptionalLong> mOwnerEpoch;
    private final Clock mClock;
    private final List<AcceptedWork> mAccepted = new ArrayList<>();
    private Optional<LoadSummary> mSummary = Optional.empty();
    private long mSummaryMadeAtMs;
    private long mNextFetchAtMs = Long.MIN_VALUE;
    private boolean mFetching;
    private long mFetchedAtMs;

    /**
     * Creates a tracker.
     *
     * @param ownerEpoch returns the epoch of the owner that this daemon knows, if there is one
     */
    public LoadTracker(Source source, Supplier<OptionalLong> ownerEpoch, Clock clock) {
        mSource = source;
        mOwnerEpoch = ownerEpoch;
        mClock = clock;
    }

    /** Returns what is known of a service's load, and fetches it if that is due. */
    public Optional<KnownLoad> loadOf(ServiceName service) {
        fetchIfDue();
        OptionalLong ownerEpoch = mOwnerEpoch.get();
        synchronized (this) {
            Optional<LoadSummary> current =
                    mSummary.filter(
                            summary ->
                                    ownerEpoch.isPresent()
                                            && summary.epoch() == ownerEpoch.getAsLong());
            return current.flatMap(summary -> summary.service(service))
                    .map(load -> toKnownLoad(current.get().epoch(), load));
        }
    }

    /** Adds a job that this daemon has accepted. */
    public synchronized void onAccepted(QueueConfig queue, JobPlan plan) {
        long nowMs = mClock.monotonicMs();
        mAccepted.removeIf(job -> nowMs - job.atMs > AdmissionPolicy.MAX_LOAD_AGE_MS);
        mSummary.flatMap(summary -> summary.service(queue.service()))
                .ifPresent(
                        load ->
                                mAccepted.add(
                                        new AcceptedWork(
                                                queue.service(),
                                                AdmissionPolicy.workOf(queue, plan, load.room()),
                                                nowMs)));
    }

    private KnownLoad toKnownLoad(long epoch, ServiceLoad load) {
        List<CommittedWork> since = new ArrayList<>();
        for (AcceptedWork job : mAccepted) {
            if (job.service.equals(load.service())) {
                since.add(job.work);
            }
        }
        return new KnownLoad(load, epoch, mClock.monotonicMs() - mSummaryMadeAtMs, since);
    }

    private void fetchIfDue() {
        long requestedAtMs = mClock.monotonicMs();
        synchronized (this) {
            boolean awaitsAnswer = mFetching && requestedAtMs - mFetchedAtMs < LOST_AFTER_MS;
            if (awaitsAnswer || requestedAtMs < mNextFetchAtMs) {
                return;
            }
            mFetching = true;
            mFetchedAtMs = requestedAtMs;
        }
        mSource.fetch().whenComplete((summary, e) -> onFetched(summary, e, requestedAtMs));
    }

    private synchronized void onFetched(
            Optional<LoadSummary> summary, Throwable failure, long requestedAtMs) {
        if (requestedAtMs != mFetchedAtMs) {
            return;
        }
        mFetching = false;
        mNextFetchAtMs = requestedAtMs + REFRESH_INTERVAL_MS;
        if (failure == null && summary.isPresent() && !isFromEarlierOwner(summary.get())) {
            mSummary = summary;
            mSummaryMadeAtMs = requestedAtMs - summary.get().ageMs();
            mAccepted.removeIf(job -> job.atMs <= mSummaryMadeAtMs);
            if (isLow(summary.get())) {
                mNextFetchAtMs = requestedAtMs + IDLE_REFRESH_INTERVAL_MS;
            }
        }
    }

    private boolean isFromEarlierOwner(LoadSummary summary) {
        return mSummary.isPresent() && summary.epoch() < mSummary.get().epoch();
    }

    private static boolean isLow(LoadSummary summary) {
        for (ServiceLoad load : summary.services()) {
            long cpuMs = 0;
            long memoryMs = 0;
            long acceleratorMs = 0;
            for (CommittedWork work : load.work()) {
                cpuMs += work.cpuMs();
                memoryMs += work.memoryMs();
                acceleratorMs += work.acceleratorMs();
            }
            if (Math.max(cpuMs, Math.max(memoryMs, acceleratorMs)) > LOW_LOAD_MS) {
                return false;
            }
        }
        return true;
    }
}
