package org.lycheeroad.scheduler.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.coordination.jobs.AdviceRequest;
import org.lycheeroad.coordination.jobs.DroppedRun;
import org.lycheeroad.coordination.jobs.GivenWay;
import org.lycheeroad.coordination.jobs.JobAction;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.coordination.jobs.SchedulerSettings;
import org.lycheeroad.coordination.jobs.StalledStep;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.PrefixWatch;
import org.lycheeroad.scheduler.SerialExecutor;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.config.ConfigCache;
import org.lycheeroad.scheduler.log.EventRecorder;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.KeyValue;
import org.lycheeroad.scheduler.port.PlacementPolicy;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.LoadSummary;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerStatus;

/**
 * The work of the owner during one term: loads the accepted jobs and their progress, polls the
 * workers and schedules.
 *
 * <p>All methods run on the owner's executor.
 */
final class OwnerSession {
    /** Delays the saving of progress that no start waits for, so that changes share a commit. */
    private static final long SAVE_DELAY_MS = 120;

    /**
     * Bounds the delay after which due times, stalled runs and expired claims on workers are
     * noticed.
     */
    private static final long TICK_MS = 100;

    /** Bounds how long a new job stays unnoticed if a watch connection has silently failed. */
    private static final long LONG_POLL_MS = 1_500;

    /** Interval between deletions of old records; with 10 jobs each, suffices for 5 jobs/s. */
    private static final long CLEANUP_INTERVAL_MS = 2_000;

    /** Bounds the work for summaries of the load, however many daemons ask. */
    private static final long LOAD_INTERVAL_MS = 1_000;

    /**
     * Long, as a policy may take seconds for many workers; if its queue is full, it refuses at
     * once.
     */
    private static final long ADVICE_TIMEOUT_MS = 10_000;

    private final MetadataStore mStore;
    private final WorkerGateway mGateway;
    private final PlacementPolicy mPolicy;
    private final PlatformSchema mSchema;
    private final ConfigCache mConfigCache;
    private final SerialExecutor mExecutor;
    private final Term mTerm;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final EventRecorder mEvents;
    private final NodeMetrics mMetrics;
    private final Runnable mOnSuperseded;
    private final JobScheduler mScheduler;
    private final ProgressSaver mSaver;
    private final RecordCleaner mCleaner;
    private final SilentWorkerRecorder mSilentWorkers;
    private final Map<WorkerId, WorkerSession> mWorkerSessions = new LinkedHashMap<>();
    private final Map<JobId, ProgressRecord> mLoadedProgress = new HashMap<>();
    private final Set<JobId> mCancelled = new HashSet<>();
    private final List<PrefixWatch> mWatches = new ArrayList<>();
    private final Set<FailureDomainId> mEvacuatedDomains = new HashSet<>();
    private boolean mSilentWorkersLoaded;
    private boolean mProgressLoaded;
    private boolean mWorkersLoaded;
    private boolean mJobsLoaded;

    /** Whether the requested evacuations are known, so that runs may start. */
    private boolean mEvacuationsLoaded;

    private boolean mStopped;
    private final PassPacer mPassPacer = new PassPacer();
    private boolean mSaveTimerSet;
    private boolean mPassScheduled;
    private long mConfigVersion = -1;

    /** The newest summary of the load; null before the first. */
    private LoadSummary mLoad;

    private long mLoadMadeAtMs;

    /** The time after which all leases that earlier owners may have granted have expired. */
    private final long mEarlierLeasesExpiredAtMs;

    OwnerSession(
            MetadataStore store,
            WorkerGateway gateway,
            PlacementPolicy policy,
            PlatformSchema schema,
            ConfigCache config,
            SerialExecutor executor,
            Term term,
            NodeSettings settings,
            Clock clock,
            EventRecorder events,
            NodeMetrics metrics,
            Runnable onSuperseded) {
        mStore = store;
        mGateway = gateway;
        mPolicy = policy;
        mSchema = schema;
        mConfigCache = config;
        mExecutor = executor;
        mTerm = term;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mOnSuperseded = onSuperseded;
        mScheduler =
                new JobScheduler(
                        new SchedulerSettings(
                                settings.remoteSlowdownFactor(),
                                settings.reclaimDeadlineMs(),
                                WorkerSession.latestLeaseExpiryMs(0, settings.maxWorkerLeaseMs()),
                                settings.statusRetentionMs(),
                                settings.overloadTriage()));
        mSaver = new ProgressSaver(store, executor, term, new SaverListener());
        mCleaner = new RecordCleaner(store, executor, term, events);
        mSilentWorkers = new SilentWorkerRecorder(store, executor, term, clock, onSuperseded);
        mEvacuationsLoaded = settings.evacuationMs() == 0;
        mEarlierLeasesExpiredAtMs =
                WorkerSession.latestLeaseExpiryMs(term.beganAtMs(), settings.maxWorkerLeaseMs());
    }

    void start() {
        loadSilentWorkers();
        loadProgress("");
    }

    void stop() {
        mStopped = true;
        mMetrics.setEvacuatedDomainCount(0);
        mSaver.stop();
        mSilentWorkers.stop();
        mWatches.forEach(PrefixWatch::stop);
        mWorkerSessions.values().forEach(WorkerSession::stop);
    }

    /** Returns a job's state, or empty if the job is unknown or jobs are still being loaded. */
    Optional<WorkState> stateOf(JobId id) {
        return mJobsLoaded ? mScheduler.stateOf(id) : Optional.empty();
    }

    /**
     * Returns how many of a queue's jobs have not started, or empty while jobs are being loaded.
     */
    Optional<Integer> pendingCount(QueueName queue) {
        return mJobsLoaded && !mStopped
                ? Optional.of(mScheduler.queuedJobCount(queue))
                : Optional.empty();
    }

    /** Returns the evacuated failure domains, or empty while they are being listed. */
    Optional<Set<FailureDomainId>> evacuatedDomains() {
        return mEvacuationsLoaded && !mStopped
                ? Optional.of(Set.copyOf(mEvacuatedDomains))
                : Optional.empty();
    }

    /**
     * Returns a summary of the load, or empty while the state is being loaded or if another VM may
     * be the owner. Callers within a short time share one.
     */
    Optional<LoadSummary> load() {
        if (!mJobsLoaded
                || mStopped
                || mConfigVersion < 0
                || !mEvacuationsLoaded
                || !mTerm.isLeaseValid()) {
            return Optional.empty();
        }
        long nowMs = mClock.monotonicMs();
        if (mLoad == null || nowMs - mLoadMadeAtMs >= LOAD_INTERVAL_MS) {
            long version = mLoad == null ? 1 : mLoad.version() + 1;
            mLoad =
                    new LoadSummary(
                            mTerm.epoch(),
                            version,
                            0,
                            mScheduler.summarizeLoad(nowMs, mClock.wallMs()));
            mLoadMadeAtMs = nowMs;
        }
        return Optional.of(mLoad.withAge(nowMs - mLoadMadeAtMs));
    }

    /** Makes scheduling decisions and sends orders; called when the executor's queue is empty. */
    void runSchedulingPass() {
        if (!mJobsLoaded || mStopped) {
            return;
        }
        long startedAtMs = mClock.monotonicMs();
        long delayMs = mPassPacer.delayMs(startedAtMs);
        if (delayMs > 0) {
            schedulePass(delayMs);
            return;
        }
        applyNewestConfig();
        if (mConfigVersion < 0 || !mEvacuationsLoaded || !mTerm.isLeaseValid()) {
            return;
        }
        try {
            makeDecisions();
        } finally {
            // The work of sound workers continues under its leases even if a decision fails.
            mWorkerSessions.values().forEach(WorkerSession::pollIfDue);
            mPassPacer.onPass(startedAtMs, mClock.monotonicMs());
        }
    }

    private void makeDecisions() {
        mWorkerSessions.values().forEach(WorkerSession::checkLeaseExpiry);
        if (mWorkersLoaded) {
            expireLeasesOfAbsentWorkers();
            recordSilentWorkers();
        }
        removeDepartedWorkers();
        mScheduler.runDecisionRound(mClock.monotonicMs(), mClock.wallMs());
        sendOrders();
        mScheduler.takeAdviceRequests().forEach(this::requestAdvice);
        mScheduler.takeGivenWay().forEach(this::recordGivenWay);
        mScheduler.takeDroppedRuns().forEach(this::recordDroppedRun);
        mScheduler.takeStalledSteps().forEach(this::recordStalledStep);
        if (mScheduler.hasUrgentUnsavedProgress()) {
            save();
        } else if (!mSaveTimerSet) {
            mSaveTimerSet = true;
            mExecutor.schedule(
                    SAVE_DELAY_MS,
                    () -> {
                        mSaveTimerSet = false;
                        save();
                    });
        }
    }

    /** Wakes the executor up for a pass, which runs when its queue is empty. */
    private void schedulePass(long delayMs) {
        if (!mPassScheduled) {
            mPassScheduled = true;
            mExecutor.schedule(delayMs, () -> mPassScheduled = false);
        }
    }

    /**
     * Reports the expiry of the leases of workers that have recorded runs but no entry, so that the
     * runs can be restarted elsewhere.
     */
    private void expireLeasesOfAbsentWorkers() {
        long nowMs = mClock.monotonicMs();
        for (WorkerId id : mScheduler.workersWithRuns()) {
            if (!mWorkerSessions.containsKey(id) && nowMs > leasesOfAbsentWorkerExpiredAtMs(id)) {
                mEvents.record(EventCode.WORKER_LAPSED, "", "worker=" + id + " absent=true");
                mScheduler.onLeaseExpired(id, nowMs);
            }
        }
    }

    private long leasesOfAbsentWorkerExpiredAtMs(WorkerId id) {
        return mSilentWorkers.earlierLeasesExpiredAtMs(id, mEarlierLeasesExpiredAtMs);
    }

    /**
     * Lets the next owner know for how long the leases of silent workers still last. A worker to
     * which starts without an answer are in transit is left out, as the record does not tell the
     * next owner of them.
     */
    private void recordSilentWorkers() {
        Map<WorkerId, Long> expiredAtMs = new HashMap<>();
        for (WorkerId id : mScheduler.workersWithRuns()) {
            if (mScheduler.mayRunByCallsInTransit(id, mClock.monotonicMs())) {
                continue;
            }
            WorkerSession session = mWorkerSessions.get(id);
            if (session == null) {
                expiredAtMs.put(id, leasesOfAbsentWorkerExpiredAtMs(id));
            } else {
                session.silentUntilMs().ifPresent(ms -> expiredAtMs.put(id, ms));
            }
        }
        mSilentWorkers.update(expiredAtMs);
    }

    private void removeDepartedWorkers() {
        long nowMs = mClock.monotonicMs();
        mWorkerSessions
                .values()
                .removeIf(
                        session -> {
                            boolean departed = mScheduler.isRemovable(session.id(), nowMs);
                            if (departed) {
                                session.stop();
                                mScheduler.removeWorker(session.id());
                            }
                            return departed;
                        });
    }

    private void save() {
        if (!mStopped) {
            List<UnsavedProgress> unsaved = mScheduler.takeUnsavedProgress();
            if (!unsaved.isEmpty()) {
                mSaver.save(unsaved);
            }
        }
    }

    private void sendOrders() {
        for (JobAction action : mScheduler.takeActions()) {
            WorkerSession worker = mWorkerSessions.get(action.worker());
            if (worker == null) {
                continue;
            }
            if (action instanceof JobAction.Start start) {
                worker.start(start);
            } else if (action instanceof JobAction.Stop stop) {
                worker.stop(stop);
            } else if (action instanceof JobAction.Throttle throttle) {
                worker.throttle(throttle);
            }
        }
    }

    private void requestAdvice(AdviceRequest question) {
        mExecutor.whenComplete(
                mPolicy.requestAdvice(question, ADVICE_TIMEOUT_MS),
                (advice, e) -> {
                    if (mStopped) {
                        return;
                    }
                    boolean answered = e == null && advice.isPresent();
                    mEvents.record(
                            EventCode.ADVICE_RECEIVED,
                            question.job().value(),
                            "step="
                                    + question
                                    + " asked="
                                    + question.workers().size()
                                    + " allowed="
                                    + (answered ? advice.get().tickets().size() : "none"));
                    mScheduler.onAdvice(
                            question,
                            answered ? advice.get().tickets() : null,
                            answered ? advice.get().validMs() : 0,
                            mClock.monotonicMs());
                });
    }

    private void recordGivenWay(GivenWay step) {
        mMetrics.countGivenWay(step.verdict().name(), step.priority());
        mEvents.record(
                EventCode.JOB_GIVES_WAY,
                step.job().value(),
                "step="
                        + step.occurrence()
                        + "."
                        + step.step()
                        + " priority="
                        + step.priority()
                        + " expected="
                        + step.verdict()
                        + " in_time_for_ms="
                        + step.latestEndInMs()
                        + " useful_for_ms="
                        + step.lastUsefulEndInMs());
    }

    private void recordDroppedRun(DroppedRun dropped) {
        mMetrics.countDroppedRun(dropped.cause().name());
        mEvents.record(
                EventCode.RUN_DROPPED,
                dropped.run().task().job().value(),
                "run="
                        + dropped.run()
                        + " worker="
                        + dropped.worker()
                        + " cause="
                        + dropped.cause()
                        + " phase="
                        + dropped.phase()
                        + " start_sent_ms_ago="
                        + dropped.startSentMsAgo()
                        + " unanswered_start="
                        + dropped.hasUnansweredStart());
    }

    private void recordStalledStep(StalledStep stalled) {
        mMetrics.countStalledStep(stalled.cause());
        StringBuilder text = new StringBuilder();
        text.append("step=").append(stalled.occurrence()).append('.').append(stalled.step());
        text.append(" cause=").append(stalled.cause());
        text.append(" waited_ms=").append(stalled.waitedMs());
        text.append(" tasks=").append(stalled.waitingTasks());
        text.append(" room=").append(stalled.roomForTasks());
        stalled.workers()
                .forEach(
                        (barrier, count) ->
                                text.append(' ')
                                        .append(barrier.name().toLowerCase(Locale.ROOT))
                                        .append('=')
                                        .append(count));
        for (StalledStep.AwaitedRun run : stalled.awaitedRuns()) {
            text.append(" run=").append(run.run()).append(" phase=").append(run.phase());
            text.append(" worker=").append(run.worker()).append(" age_ms=").append(run.ageMs());
        }
        mEvents.record(EventCode.STEP_STALLED, stalled.job().value(), text.toString());
    }

    private void applyNewestConfig() {
        mConfigCache
                .current()
                .filter(config -> config.version() > mConfigVersion)
                .ifPresent(
                        config -> {
                            mConfigVersion = config.version();
                            mScheduler.onConfig(config);
                        });
    }

    /**
     * Loads the progress of all jobs, and then the jobs. In this order, a job without progress has
     * had no run under an earlier owner.
     */
    private void loadProgress(String afterKey) {
        mExecutor.whenComplete(
                mStore.list(StoreKeys.PROGRESS_PREFIX, afterKey),
                (page, e) -> {
                    if (mStopped) {
                        return;
                    }
                    if (e != null) {
                        mExecutor.schedule(SAVE_DELAY_MS, () -> loadProgress(afterKey));
                        return;
                    }
                    PrefixWatch.forEach(page.keyValues(), this::loadProgressRecord);
                    if (page.hasMore()) {
                        loadProgress(page.nextAfterKey());
                    } else {
                        mProgressLoaded = true;
                        watchIfLoaded();
                    }
                });
    }

    private void loadSilentWorkers() {
        mExecutor.whenComplete(
                mStore.read(StoreKeys.SILENT_WORKERS),
                (record, e) -> {
                    if (mStopped) {
                        return;
                    }
                    if (e != null) {
                        mExecutor.schedule(SAVE_DELAY_MS, this::loadSilentWorkers);
                        return;
                    }
                    record.ifPresent(this::loadSilentWorkers);
                    mSilentWorkersLoaded = true;
                    watchIfLoaded();
                });
    }

    private void loadSilentWorkers(KeyValue record) {
        try {
            mSilentWorkers.onLoaded(record);
        } catch (JsonException e) {
            recordUnreadableValue(record.key(), e.getMessage());
        }
    }

    private void watchIfLoaded() {
        if (mSilentWorkersLoaded && mProgressLoaded) {
            watchJobsAndWorkers();
        }
    }

    private void loadProgressRecord(KeyValue keyValue) {
        JobId id = StoreKeys.jobIdOf(keyValue.key());
        mSaver.onLoaded(id, keyValue.revision());
        try {
            mLoadedProgress.put(
                    id, Json.read(keyValue.value().toStringUtf8(), ProgressRecord.class));
        } catch (JsonException e) {
            recordUnreadableValue(keyValue.key(), e.getMessage());
        }
    }

    private void watchJobsAndWorkers() {
        watch(StoreKeys.INTAKE_PREFIX, new IntakeListener());
        watch(mSchema.workerKeyPrefix(), new WorkerListener());
        if (mSettings.evacuationMs() > 0) {
            watch(mSchema.evacuationKeyPrefix(), new EvacuationListener());
        }
        tickPeriodically();
        cleanUpPeriodically();
    }

    private void cleanUpPeriodically() {
        if (!mStopped) {
            mCleaner.removeRecords(mScheduler.expiredJobs(mClock.monotonicMs()));
            mExecutor.schedule(CLEANUP_INTERVAL_MS, this::cleanUpPeriodically);
        }
    }

    private void watch(String prefix, PrefixWatch.Listener listener) {
        PrefixWatch watch = new PrefixWatch(mStore, mExecutor, prefix, LONG_POLL_MS, listener);
        mWatches.add(watch);
        watch.start();
    }

    private void tickPeriodically() {
        if (!mStopped) {
            mExecutor.schedule(TICK_MS, this::tickPeriodically);
        }
    }

    private void addJob(JobId id, JobRecord record) {
        applyNewestConfig();
        long ageMs = Math.max(0, mClock.wallMs() - record.acceptedAtMs());
        mScheduler.onJob(id, record, mLoadedProgress.remove(id), ageMs, mClock.monotonicMs());
        if (mCancelled.contains(id)) {
            mScheduler.onCancel(id, mClock.monotonicMs());
        }
    }

    private void recordUnreadableValue(String key, String reason) {
        mMetrics.countUnreadableRecord();
        mEvents.record(EventCode.RECORD_UNREADABLE, "", "key=" + key + " reason=\"" + reason + '"');
    }

    private final class SaverListener implements ProgressSaver.Listener {
        @Override
        public void onSaved(UnsavedProgress saved) {
            mScheduler.onSaved(saved.job(), saved.version(), mClock.monotonicMs());
            if (saved.progress().state().isEnded()) {
                mEvents.record(
                        EventCode.JOB_CHANGED,
                        saved.job().value(),
                        "state=" + saved.progress().state());
            }
        }

        @Override
        public void onSuperseded() {
            mOnSuperseded.run();
        }
    }

    /** Applies accepted jobs and cancellations. */
    private final class IntakeListener implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<KeyValue> keyValues) {
            PrefixWatch.forEach(
                    keyValues.stream().filter(kv -> StoreKeys.isCancellationKey(kv.key())).toList(),
                    this::onPut);
            PrefixWatch.forEach(
                    keyValues.stream().filter(kv -> StoreKeys.isJobKey(kv.key())).toList(),
                    this::onPut);
            if (!mJobsLoaded) {
                mJobsLoaded = true;
                mEvents.record(
                        EventCode.JOBS_LOADED,
                        "",
                        "records=" + keyValues.size() + " epoch=" + mTerm.epoch());
            }
        }

        @Override
        public void onPut(KeyValue keyValue) {
            JobId id = StoreKeys.jobIdOf(keyValue.key());
            if (StoreKeys.isCancellationKey(keyValue.key())) {
                mCancelled.add(id);
                mScheduler.onCancel(id, mClock.monotonicMs());
                return;
            }
            ProgressRecord progress = mLoadedProgress.get(id);
            if (progress != null && progress.state().isEnded() && progress.tasks().isEmpty()) {
                // Most jobs that a new owner loads have ended; their records need not be parsed.
                mLoadedProgress.remove(id);
                mScheduler.onEndedJob(id, progress.state(), mClock.monotonicMs());
                return;
            }
            try {
                addJob(id, Json.read(keyValue.value().toStringUtf8(), JobRecord.class));
            } catch (JsonException e) {
                recordUnreadableValue(keyValue.key(), e.getMessage());
            }
        }

        @Override
        public void onDelete(String key) {
            JobId id = StoreKeys.jobIdOf(key);
            mCancelled.remove(id);
            if (StoreKeys.isJobKey(key)) {
                mScheduler.removeEndedJob(id);
                mSaver.forget(id);
            }
        }
    }

    /** Applies the operators' requests to evacuate failure domains. */
    private final class EvacuationListener implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<KeyValue> keyValues) {
            Set<FailureDomainId> listed = new HashSet<>();
            for (KeyValue keyValue : keyValues) {
                domainOf(keyValue.key()).ifPresent(listed::add);
            }
            Set<FailureDomainId> ended = new HashSet<>(mEvacuatedDomains);
            ended.removeAll(listed);
            ended.forEach(this::end);
            listed.forEach(this::begin);
            mEvacuationsLoaded = true;
        }

        @Override
        public void onPut(KeyValue keyValue) {
            domainOf(keyValue.key()).ifPresent(this::begin);
        }

        @Override
        public void onDelete(String key) {
            domainOf(key).ifPresent(this::end);
        }

        private Optional<FailureDomainId> domainOf(String key) {
            try {
                return Optional.of(mSchema.parseEvacuation(key));
            } catch (PlatformSchema.FormatException e) {
                recordUnreadableValue(key, e.getMessage());
                return Optional.empty();
            }
        }

        private void begin(FailureDomainId domain) {
            if (mEvacuatedDomains.add(domain)) {
                apply(EventCode.EVACUATION_BEGUN, domain);
            }
        }

        private void end(FailureDomainId domain) {
            if (mEvacuatedDomains.remove(domain)) {
                apply(EventCode.EVACUATION_ENDED, domain);
            }
        }

        private void apply(EventCode change, FailureDomainId domain) {
            mScheduler.onEvacuations(mEvacuatedDomains);
            mMetrics.setEvacuatedDomainCount(mEvacuatedDomains.size());
            mEvents.record(change, "", "domain=" + domain);
        }
    }

    /** Applies changes of the worker entries. */
    private final class WorkerListener implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<KeyValue> keyValues) {
            Set<String> keys = new HashSet<>();
            keyValues.forEach(keyValue -> keys.add(keyValue.key()));
            PrefixWatch.forEach(keyValues, this::onPut);
            for (WorkerId id : mWorkerSessions.keySet()) {
                if (!keys.contains(mSchema.workerKeyPrefix() + id)) {
                    mScheduler.onWorkerUnregistered(id);
                }
            }
            mWorkersLoaded = true;
        }

        @Override
        public void onPut(KeyValue keyValue) {
            WorkerStatus entry;
            try {
                entry = mSchema.parseWorker(keyValue.key(), keyValue.value());
            } catch (PlatformSchema.FormatException e) {
                recordUnreadableValue(keyValue.key(), e.getMessage());
                return;
            }
            mScheduler.onWorkerEntry(entry, mClock.monotonicMs());
            WorkerSession session = mWorkerSessions.get(entry.id());
            if (session != null) {
                session.update(entry);
                return;
            }
            mWorkerSessions.put(
                    entry.id(),
                    new WorkerSession(
                            entry,
                            mGateway,
                            mExecutor,
                            mScheduler,
                            mTerm,
                            mSettings,
                            mClock,
                            mEvents,
                            mMetrics,
                            mSilentWorkers,
                            mOnSuperseded));
        }

        @Override
        public void onDelete(String key) {
            mScheduler.onWorkerUnregistered(
                    new WorkerId(key.substring(mSchema.workerKeyPrefix().length())));
        }
    }
}
