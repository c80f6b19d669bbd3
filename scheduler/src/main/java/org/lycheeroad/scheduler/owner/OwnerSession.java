package org.lycheeroad.scheduler.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.lycheeroad.coordination.jobs.AdviceRequest;
import org.lycheeroad.coordination.jobs.JobAction;
import org.lycheeroad.coordination.jobs.JobScheduler;
import org.lycheeroad.coordination.jobs.JobScheduler.UnsavedProgress;
import org.lycheeroad.coordination.jobs.SchedulerSettings;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.scheduler.NodeSettings;
import org.lycheeroad.scheduler.PrefixWatch;
import org.lycheeroad.scheduler.StoreKeys;
import org.lycheeroad.scheduler.Strand;
import org.lycheeroad.scheduler.config.ConfigKeeper;
import org.lycheeroad.scheduler.log.Events;
import org.lycheeroad.scheduler.log.NodeMetrics;
import org.lycheeroad.scheduler.port.Catalog;
import org.lycheeroad.scheduler.port.Clock;
import org.lycheeroad.scheduler.port.MetadataStore;
import org.lycheeroad.scheduler.port.MetadataStore.Item;
import org.lycheeroad.scheduler.port.PlacementPolicy;
import org.lycheeroad.scheduler.port.WorkerGateway;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.work.JobRecord;
import org.lycheeroad.state.work.ProgressRecord;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.WorkState;
import org.lycheeroad.state.work.WorkerStatus;

/**
 * What a VM does while it is owner: it reads what was accepted and recorded, looks at all workers,
 * and schedules.
 *
 * <p>Everything runs on the owner's strand.
 */
final class OwnerSession {
    /** Ends that nothing waits for are saved together. */
    private static final long SAVE_DELAY_MS = 120;

    /** Bounds the wait for due times, stalls and expired claims. */
    private static final long TICK_MS = 100;

    private static final long WATCH_MS = 10_000;

    /** The time between two removals; ten jobs each time keep up with five jobs a second. */
    private static final long CLEAN_MS = 2_000;

    /** Policies may take long for many workers; a full queue there is refused at once. */
    private static final long ADVICE_TIMEOUT_MS = 10_000;

    private final MetadataStore mStore;
    private final WorkerGateway mGateway;
    private final PlacementPolicy mPolicy;
    private final Catalog mCatalog;
    private final ConfigKeeper mConfig;
    private final Strand mStrand;
    private final Term mTerm;
    private final NodeSettings mSettings;
    private final Clock mClock;
    private final Events mEvents;
    private final NodeMetrics mMetrics;
    private final Runnable mOnSuperseded;
    private final JobScheduler mScheduler;
    private final ProgressSaver mSaver;
    private final RecordCleaner mCleaner;
    private final Map<WorkerId, WorkerSession> mWorkers = new LinkedHashMap<>();
    private final Map<JobId, ProgressRecord> mLoadedProgress = new HashMap<>();
    private final Set<JobId> mCancelled = new HashSet<>();
    private final List<PrefixWatch> mWatches = new ArrayList<>();
    private boolean mProgressLoaded;
    private boolean mStopped;
    private boolean mSaveTimerSet;
    private long mConfigVersion = -1;

    /** When the leases that earlier owners may have granted have certainly ended. */
    private final long mLapsedAt;

    OwnerSession(
            MetadataStore store,
            WorkerGateway gateway,
            PlacementPolicy policy,
            Catalog catalog,
            ConfigKeeper config,
            Strand strand,
            Term term,
            NodeSettings settings,
            Clock clock,
            Events events,
            NodeMetrics metrics,
            Runnable onSuperseded) {
        mStore = store;
        mGateway = gateway;
        mPolicy = policy;
        mCatalog = catalog;
        mConfig = config;
        mStrand = strand;
        mTerm = term;
        mSettings = settings;
        mClock = clock;
        mEvents = events;
        mMetrics = metrics;
        mOnSuperseded = onSuperseded;
        mScheduler =
                new JobScheduler(
                        new SchedulerSettings(
                                settings.remoteFactor(),
                                settings.reclaimMs(),
                                WorkerSession.lapseAfter(0, settings.holdMaxMs()),
                                settings.statusKeepMs()));
        mSaver = new ProgressSaver(store, strand, term, new SaverListener());
        mCleaner = new RecordCleaner(store, strand, term, events);
        mLapsedAt = WorkerSession.lapseAfter(clock.steadyMs(), settings.holdMaxMs());
    }

    void start() {
        loadProgress("");
    }

    void stop() {
        mStopped = true;
        mSaver.stop();
        mWatches.forEach(PrefixWatch::stop);
        mWorkers.values().forEach(WorkerSession::stop);
    }

    /** Returns a job's state, if it is known here. */
    Optional<WorkState> stateOf(JobId id) {
        return mProgressLoaded ? mScheduler.stateOf(id) : Optional.empty();
    }

    /** Returns the number of a queue's jobs that have not begun; empty while loading. */
    Optional<Integer> pending(QueueName queue) {
        return mProgressLoaded && !mStopped
                ? Optional.of(mScheduler.queuedJobCount(queue))
                : Optional.empty();
    }

    /** Decides and sends orders; called when nothing else waits on the strand. */
    void round() {
        if (!mProgressLoaded || mStopped) {
            return;
        }
        adoptConfig();
        if (mConfigVersion < 0 || !mTerm.mayAct()) {
            return;
        }
        mWorkers.values().forEach(WorkerSession::checkLapse);
        checkAbsentWorkers();
        forgetGoneWorkers();
        mScheduler.runDecisionRound(mClock.steadyMs(), mClock.wallMs());
        sendOrders();
        mScheduler.takeAdviceRequests().forEach(this::ask);
        if (mScheduler.hasUrgentUnsavedProgress()) {
            save();
        } else if (!mSaveTimerSet) {
            mSaveTimerSet = true;
            mStrand.schedule(
                    SAVE_DELAY_MS,
                    () -> {
                        mSaveTimerSet = false;
                        save();
                    });
        }
        mWorkers.values().forEach(WorkerSession::pump);
    }

    /** Runs recorded on workers that the directory does not show end with their leases. */
    private void checkAbsentWorkers() {
        long now = mClock.steadyMs();
        if (now > mLapsedAt) {
            for (WorkerId id : mScheduler.workersWithRuns()) {
                if (!mWorkers.containsKey(id)) {
                    mEvents.record(EventCode.WORKER_LAPSED, "", "worker=" + id + " absent=true");
                    mScheduler.onLeaseExpired(id, now);
                }
            }
        }
    }

    private void forgetGoneWorkers() {
        mWorkers.values()
                .removeIf(
                        session -> {
                            boolean gone = mScheduler.isRemovable(session.id());
                            if (gone) {
                                session.stop();
                                mScheduler.removeWorker(session.id());
                            }
                            return gone;
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
            WorkerSession worker = mWorkers.get(action.worker());
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

    private void ask(AdviceRequest question) {
        mStrand.whenDone(
                mPolicy.ask(question, ADVICE_TIMEOUT_MS),
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
                            mClock.steadyMs());
                });
    }

    private void adoptConfig() {
        mConfig.current()
                .filter(config -> config.version() > mConfigVersion)
                .ifPresent(
                        config -> {
                            mConfigVersion = config.version();
                            mScheduler.onConfig(config);
                        });
    }

    /** Progress is read first: a job that has none yet has had no run of an earlier owner. */
    private void loadProgress(String after) {
        mStrand.whenDone(
                mStore.list(StoreKeys.PROGRESS, after),
                (page, e) -> {
                    if (mStopped) {
                        return;
                    }
                    if (e != null) {
                        mStrand.schedule(SAVE_DELAY_MS, () -> loadProgress(after));
                        return;
                    }
                    page.items().forEach(this::loadProgressItem);
                    if (page.hasMore() && !page.items().isEmpty()) {
                        loadProgress(page.items().get(page.items().size() - 1).key());
                    } else {
                        watchJobsAndWorkers();
                    }
                });
    }

    private void loadProgressItem(Item item) {
        JobId id = StoreKeys.jobOf(item.key());
        mSaver.onLoaded(id, item.revision());
        try {
            mLoadedProgress.put(id, Json.read(item.value().toStringUtf8(), ProgressRecord.class));
        } catch (JsonException e) {
            recordUnreadable(item.key(), e.getMessage());
        }
    }

    private void watchJobsAndWorkers() {
        watch(StoreKeys.INTAKE, new IntakeListener());
        watch(mCatalog.workerPrefix(), new WorkerListener());
        tick();
        clean();
    }

    private void clean() {
        if (!mStopped) {
            mCleaner.clean(mScheduler.expiredJobs(mClock.steadyMs()));
            mStrand.schedule(CLEAN_MS, this::clean);
        }
    }

    private void watch(String prefix, PrefixWatch.Listener listener) {
        PrefixWatch watch = new PrefixWatch(mStore, mStrand, prefix, WATCH_MS, listener);
        mWatches.add(watch);
        watch.start();
    }

    private void tick() {
        if (!mStopped) {
            mStrand.schedule(TICK_MS, this::tick);
        }
    }

    private void addJob(JobId id, JobRecord record) {
        adoptConfig();
        long age = Math.max(0, mClock.wallMs() - record.acceptedAtMs());
        mScheduler.onJob(id, record, mLoadedProgress.remove(id), age, mClock.steadyMs());
        if (mCancelled.contains(id)) {
            mScheduler.onCancel(id, mClock.steadyMs());
        }
    }

    private void recordUnreadable(String key, String reason) {
        mEvents.record(EventCode.RECORD_UNREADABLE, "", "key=" + key + " reason=\"" + reason + '"');
    }

    private final class SaverListener implements ProgressSaver.Listener {
        @Override
        public void onSaved(UnsavedProgress saved) {
            mScheduler.onSaved(saved.job(), saved.version(), mClock.steadyMs());
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

    /** Follows accepted jobs and cancellations. */
    private final class IntakeListener implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<Item> items) {
            items.stream().filter(i -> StoreKeys.isCancel(i.key())).forEach(this::onItem);
            items.stream().filter(i -> StoreKeys.isJob(i.key())).forEach(this::onItem);
            if (!mProgressLoaded) {
                mProgressLoaded = true;
                mEvents.record(
                        EventCode.JOBS_LOADED,
                        "",
                        "records=" + items.size() + " epoch=" + mTerm.epoch());
            }
        }

        @Override
        public void onItem(Item item) {
            JobId id = StoreKeys.jobOf(item.key());
            if (StoreKeys.isCancel(item.key())) {
                mCancelled.add(id);
                mScheduler.onCancel(id, mClock.steadyMs());
                return;
            }
            try {
                addJob(id, Json.read(item.value().toStringUtf8(), JobRecord.class));
            } catch (JsonException e) {
                recordUnreadable(item.key(), e.getMessage());
            }
        }

        @Override
        public void onRemoved(String key) {
            JobId id = StoreKeys.jobOf(key);
            mCancelled.remove(id);
            if (StoreKeys.isJob(key)) {
                mScheduler.removeEndedJob(id);
                mSaver.forget(id);
            }
        }
    }

    /** Follows the workers' entries. */
    private final class WorkerListener implements PrefixWatch.Listener {
        @Override
        public void onSnapshot(List<Item> items) {
            Set<String> keys = new HashSet<>();
            for (Item item : items) {
                keys.add(item.key());
                onItem(item);
            }
            for (WorkerId id : mWorkers.keySet()) {
                if (!keys.contains(mCatalog.workerPrefix() + id)) {
                    mScheduler.onWorkerUnregistered(id);
                }
            }
        }

        @Override
        public void onItem(Item item) {
            WorkerStatus entry;
            try {
                entry = mCatalog.readWorker(item.key(), item.value());
            } catch (Catalog.FormatException e) {
                recordUnreadable(item.key(), e.getMessage());
                return;
            }
            mScheduler.onWorkerEntry(entry, mClock.steadyMs());
            WorkerSession session = mWorkers.get(entry.id());
            if (session != null) {
                session.update(entry);
                return;
            }
            mWorkers.put(
                    entry.id(),
                    new WorkerSession(
                            entry,
                            mGateway,
                            mStrand,
                            mScheduler,
                            mTerm,
                            mSettings,
                            mClock,
                            mEvents,
                            mMetrics,
                            mOnSuperseded));
        }

        @Override
        public void onRemoved(String key) {
            mScheduler.onWorkerUnregistered(
                    new WorkerId(key.substring(mCatalog.workerPrefix().length())));
        }
    }
}
