package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.task.OrderKind;
import org.lycheeroad.state.task.TaskReport;
import org.lycheeroad.state.task.TaskState;
import org.lycheeroad.state.task.WorkerReport;

/**
 * Places the gangs of one region and keeps each of them whole.
 *
 * <p>Events that arrive while the entry does not own the region's placement change only the worker
 * list and the table. After an owner change, every job whose recorded state is not final must be
 * submitted again, in any order with the reports; a job that is known already is not queued twice.
 * A change of a job that has a final state on record must be dropped by the recorder.
 */
public final class GangPlacementCore implements PlacementCore {
    // Time-based rules, such as the patience of large gangs, are looked at this often.
    private static final long PASS_MS = 500;

    private final PlacementSettings mSettings;
    private final ActionBuffer mOutbox = new ActionBuffer();
    private final AcceleratorAllocator mLedger = new AcceleratorAllocator();
    private final TopologyIndex mTopology;
    private final JobQueue mQueue = new JobQueue();
    private final TeamShares mShares = new TeamShares();
    private final GuaranteeCells mCells;
    private final GangLifecycle mLifecycle;
    private final GangScheduler mScheduler;
    private final WorkerHealth mHealth;
    private final RunTimeEstimates mEstimates = new RunTimeEstimates();
    private final InfeasibleJobs mImpossible;
    private final Map<JobId, Gang> mGangs = new HashMap<>();
    private final Map<JobId, Gang> mPlaced = new LinkedHashMap<>();

    /** Ended jobs of a predecessor, whose late tasks must not be taken for a job unknown so far. */
    private final Set<JobId> mEndedOld = new HashSet<>();

    private boolean mOwner;
    private boolean mRebuilding;
    private boolean mDirty;
    private long mToken;
    private long mGainedAt;
    private long mPassedAt;
    private long mNow;
    private boolean mRebind;
    private boolean mRecheck;

    /** Creates a core that owns nothing until {@link PlacementEvent.OwnershipGained}. */
    public GangPlacementCore(PlacementSettings settings) {
        mSettings = settings;
        mTopology = new TopologyIndex(settings.region());
        mCells = new GuaranteeCells(mTopology);
        mImpossible = new InfeasibleJobs(mTopology, mShares, settings.startBoundMs());
        mLifecycle = new GangLifecycle(settings, mLedger, mOutbox, new LifecycleListener());
        mHealth = new WorkerHealth(settings.quarantineMs());
        mScheduler =
                new GangScheduler(
                        settings,
                        mTopology,
                        mCells,
                        mShares,
                        mQueue,
                        mLifecycle,
                        mHealth,
                        mEstimates,
                        mPlaced);
    }

    @Override
    public List<PlacementAction> handle(PlacementEvent event, long nowMillis) {
        mNow = nowMillis;
        if (event instanceof PlacementEvent.OwnershipGained gained) {
            clear();
            mOwner = true;
            mRebuilding = true;
            mToken = gained.token();
            mScheduler.start(mToken);
            mGainedAt = nowMillis;
        } else if (event instanceof PlacementEvent.OwnershipLost) {
            clear();
            mOwner = false;
        } else if (event instanceof PlacementEvent.WorkersChanged changed) {
            mTopology.update(changed.workers());
            mRecheck = true;
            mRebind = true;
            mDirty = true;
        } else if (event instanceof PlacementEvent.TableChanged changed) {
            mShares.setTable(changed.table(), mSettings.region());
            mScheduler.dropClaims();
            mCells.setGuarantees(mShares.guarantees());
            mRecheck = true;
            mRebind = true;
            mDirty = true;
        } else if (mOwner) {
            handleOwned(event, nowMillis);
        }
        if (mOwner && mDirty) {
            schedule(nowMillis);
        }
        return mOutbox.drain();
    }

    private void handleOwned(PlacementEvent event, long now) {
        if (event instanceof PlacementEvent.WorkerReported reported) {
            report(reported.report(), now);
        } else if (event instanceof PlacementEvent.WorkerUnreachable unreachable) {
            unreachable(mTopology.worker(unreachable.worker()), now);
        } else if (event instanceof PlacementEvent.JobSubmitted submitted) {
            submit(submitted.spec(), now);
        } else if (event instanceof PlacementEvent.JobCancelled cancelled) {
            cancel(cancelled.job(), now);
        } else if (event instanceof PlacementEvent.OrderAnswered answer) {
            answer(answer, now);
        } else if (event instanceof PlacementEvent.Tick) {
            tick(now);
        }
    }

    private void submit(JobSpec spec, long now) {
        Gang known = mGangs.get(spec.id());
        if (known != null) {
            known.mSubmitted = true;
            return;
        }
        if (mEndedOld.contains(spec.id())) {
            return;
        }
        Gang gang = new Gang(spec, now);
        gang.mSubmitted = true;
        // Before the rebuild ends, a predecessor may have started the job without a trace here.
        gang.mStartSent = mRebuilding;
        gang.mMayPredateOwnership = mRebuilding;
        String problem = mImpossible.reasonAgainst(spec);
        if (problem != null) {
            mOutbox.addJobChange(gang, JobState.NOT_RUN, problem);
            return;
        }
        mGangs.put(spec.id(), gang);
        mQueue.add(gang);
        mDirty = true;
    }

    private void cancel(JobId job, long now) {
        Gang gang = mGangs.get(job);
        if (gang == null) {
            return;
        }
        if (gang.isPlaced()) {
            mLifecycle.cancel(gang, now);
            return;
        }
        if (mRebuilding) {
            // A report may still show that the job runs.
            gang.mCancelRequested = true;
            return;
        }
        drop(gang);
        if (gang.mStartSent) {
            mOutbox.addJobChange(gang, JobState.CANCELLED, "cancelled");
        } else {
            mOutbox.addJobChange(gang, JobState.NOT_RUN, "cancelled before start");
        }
    }

    /** Takes a waiting gang out. */
    private void drop(Gang gang) {
        mScheduler.dropClaim(gang);
        mQueue.remove(gang);
        forget(gang);
    }

    private void endImpossible(long now) {
        if (!mRecheck && !mImpossible.areWorkersMissing()) {
            return;
        }
        mRecheck = false;
        mImpossible
                .expired(mGangs.values(), now)
                .forEach(
                        (gang, reason) -> {
                            drop(gang);
                            mOutbox.addJobChange(
                                    gang,
                                    gang.mStartSent ? JobState.FAILED : JobState.NOT_RUN,
                                    reason);
                        });
    }

    private void forget(Gang gang) {
        mGangs.remove(gang.id());
        if (gang.mMayPredateOwnership) {
            mEndedOld.add(gang.id());
        }
    }

    private void answer(PlacementEvent.OrderAnswered answer, long now) {
        Gang gang = mGangs.get(answer.job());
        if (gang == null || gang.mAttemptNumber != answer.attempt()) {
            return;
        }
        GangMember member = gang.findMember(answer.member());
        if (member != null && member.mWorker.mId.equals(answer.worker())) {
            mLifecycle.onOrderAnswered(
                    member, answer.kind(), answer.accepted(), answer.reason(), now);
        }
    }

    private void report(WorkerReport report, long now) {
        WorkerState worker = mTopology.worker(report.worker());
        boolean restarted = report.incarnation() > worker.mIncarnation;
        if (report.incarnation() < worker.mIncarnation
                || (!restarted && report.sequence() < worker.mSequence)) {
            return;
        }
        boolean known = worker.mHasReported;
        worker.mIncarnation = report.incarnation();
        worker.mSequence = report.sequence();
        worker.mReportedAtMs = now;
        if (!worker.isHealthy()) {
            mRebind = true;
        }
        if (!worker.acceptsNewGangs()) {
            mDirty = true;
        }
        worker.mHasReported = true;
        worker.mNeedsFreshReport = false;
        worker.mReportOverdue = false;
        List<GangMember> missing = new ArrayList<>(worker.mMembers);
        long foreign = 0;
        for (TaskReport task : report.tasks()) {
            GangMember member = memberOf(worker, task, now);
            if (member != null) {
                missing.remove(member);
                mLifecycle.onTaskReported(member, task.state(), now);
            } else if (task.state().holdsAccelerators()) {
                foreign |= maskOf(task.accelerators());
                mOutbox.addOrderForUnknownTask(worker.mId, OrderKind.STOP, task);
            } else {
                mOutbox.addOrderForUnknownTask(worker.mId, OrderKind.ACK, task);
            }
        }
        if (worker.mUnknownTaskMask != foreign) {
            worker.mUnknownTaskMask = foreign;
            mDirty = true;
        }
        for (GangMember member : missing) {
            if (member.mReportedState != null || (restarted && known)) {
                mLifecycle.onTaskMissing(member, now);
            }
        }
    }

    /** Returns the member that a reported task belongs to, adopting tasks of a predecessor. */
    private GangMember memberOf(WorkerState worker, TaskReport task, long now) {
        Gang gang = mGangs.get(task.job());
        boolean own = AttemptNumber.wasIssuedUnder(task.attempt(), mToken);
        if (gang != null && gang.isPlaced() && gang.mAttemptNumber == task.attempt()) {
            GangMember member = gang.findMember(task.member());
            if (member != null) {
                return member.mWorker == worker ? member : null;
            }
            return gang.mPhase == Gang.Phase.ADOPTING ? adopt(gang, worker, task) : null;
        }
        // A task that is only reserved was never started and is stopped instead.
        boolean adoptable =
                !own
                        && !mEndedOld.contains(task.job())
                        && (task.state() == TaskState.RUNNING || task.state() == TaskState.DONE);
        if (!adoptable) {
            return null;
        }
        if (gang == null) {
            gang = new Gang(task.spec(), now);
            mGangs.put(task.job(), gang);
        } else if (!gang.isPlaced()) {
            mScheduler.dropClaim(gang);
            mQueue.remove(gang);
        } else if (gang.mPhase == Gang.Phase.ADOPTING && task.attempt() > gang.mAttemptNumber) {
            // The tasks seen so far belong to an earlier attempt; they are stopped as unknown.
            gang.mMembers.forEach(mLedger::release);
            gang.mMembers.clear();
        } else {
            return null;
        }
        gang.mEligibleAtMs = mGainedAt + mSettings.leaseExpiryMs();
        gang.mStartSent = true;
        gang.mMayPredateOwnership = true;
        gang.mPhase = Gang.Phase.ADOPTING;
        gang.mAttemptNumber = task.attempt();
        gang.mFailedRuns = AttemptNumber.runNumber(task.attempt()) - 1;
        gang.mPhaseEnteredAtMs = now;
        mPlaced.put(task.job(), gang);
        return adopt(gang, worker, task);
    }

    private GangMember adopt(Gang gang, WorkerState worker, TaskReport task) {
        GangMember member =
                new GangMember(gang, task.member(), worker, maskOf(task.accelerators()));
        member.mHeldUntilMs = worker.mReportedAtMs + mSettings.leaseExpiryMs();
        gang.mMembers.add(member);
        mLedger.allocate(member);
        return member;
    }

    private void unreachable(WorkerState worker, long now) {
        if (!worker.mNeedsFreshReport) {
            worker.mNeedsFreshReport = true;
            mDirty = true;
        }
        abortUnstarted(worker, "unreachable", now);
    }

    private void workerLost(WorkerState worker) {
        mDirty = true;
        mRebind |= worker.totalCellAccelerators() > 0;
    }

    private void abortUnstarted(WorkerState worker, String problem, long now) {
        for (GangMember member : List.copyOf(worker.mMembers)) {
            Gang gang = member.mGang;
            if (gang.mPhase == Gang.Phase.RESERVING || gang.mPhase == Gang.Phase.CONFIRMING) {
                mLifecycle.failRun(gang, "worker " + worker.mId + " is " + problem, now);
            }
        }
    }

    private void tick(long now) {
        for (WorkerState worker : mTopology.known()) {
            if (!worker.mReportOverdue && isSilent(worker, now)) {
                worker.mReportOverdue = true;
                workerLost(worker);
                abortUnstarted(worker, "silent", now);
            }
        }
        if (mRebuilding) {
            boolean complete = mTopology.listed().stream().allMatch(worker -> worker.mHasReported);
            if ((complete && !mTopology.listed().isEmpty())
                    || now >= mGainedAt + mSettings.leaseExpiryMs()) {
                mRebuilding = false;
                mDirty = true;
                for (Gang gang : List.copyOf(mGangs.values())) {
                    if (gang.mCancelRequested && !gang.isPlaced()) {
                        cancel(gang.id(), now);
                    }
                }
            }
        }
        for (Gang gang : List.copyOf(mPlaced.values())) {
            if (gang.mPhase == Gang.Phase.ADOPTING) {
                boolean whole = gang.mMembers.size() == gang.mSpec.shape().workers();
                if (whole || now >= gang.mPhaseEnteredAtMs + mSettings.adoptMs()) {
                    mLifecycle.completeAdoption(gang, now);
                    if (gang.mCancelRequested && gang.isPlaced()) {
                        mLifecycle.cancel(gang, now);
                    }
                }
            } else {
                mLifecycle.tick(gang, now);
            }
        }
        if (mHealth.release(mTopology, now)) {
            mDirty = true;
            mRebind = true;
        }
        mDirty |= mScheduler.hasClaims() || now - mPassedAt >= PASS_MS;
    }

    private boolean isSilent(WorkerState worker, long now) {
        long bound = worker.hasCommittedMembers() ? mSettings.silentMs() : mSettings.idleSilentMs();
        return worker.mHasReported && now - worker.mReportedAtMs > bound;
    }

    private void schedule(long now) {
        mDirty = false;
        if (mRebuilding) {
            return;
        }
        endImpossible(now);
        // A claim on a lost worker counts as use, so it would keep its cell from moving away.
        mScheduler.dropInvalidClaims();
        if (mRebind) {
            mRebind = false;
            mCells.rebind();
            mPlaced.values().forEach(mCells::promote);
        }
        mScheduler.pass(now);
        mPassedAt = now;
    }

    /** Returns whether accelerators of the worker are kept free for a waiting gang. */
    boolean claims(WorkerId worker) {
        WorkerState state = mTopology.find(worker);
        return state != null && !state.mClaims.isEmpty();
    }

    boolean isQuarantined(WorkerId worker) {
        WorkerState state = mTopology.find(worker);
        return state != null && state.mQuarantined;
    }

    /**
     * Checks that stopping borrowers would free every bound cell.
     *
     * @throws IllegalStateException if it would not
     */
    void checkGuarantees() {
        mCells.check();
    }

    /** Returns whether a search finds room for all unused cells beside the gangs in guarantee. */
    boolean rebuildable(GuaranteeCells.PackingSearch search) {
        return mCells.rebuildable(search);
    }

    private void clear() {
        mQueue.clear();
        mGangs.clear();
        mPlaced.clear();
        mEndedOld.clear();
        mScheduler.dropClaims();
        mCells.unbindAll();
        mHealth.clear();
        mImpossible.clear();
        mRecheck = true;
        mTopology.known().forEach(WorkerState::reset);
        mRebind = true;
        mRebuilding = false;
    }

    private static long maskOf(List<Integer> accelerators) {
        long mask = 0;
        for (int accelerator : accelerators) {
            if (accelerator >= 0 && accelerator < WorkerState.MAX_ACCELERATORS) {
                mask |= 1L << accelerator;
            }
        }
        return mask;
    }

    /** Moves gangs between queue and placement as the life cycle ends their attempts. */
    private final class LifecycleListener implements GangLifecycle.Listener {
        @Override
        public void onRequeued(Gang gang) {
            mRebind |= gang.mWithinGuarantee;
            gang.mWithinGuarantee = false;
            if (gang.mStartSent) {
                gang.mQueuedAtMs = gang.isReclaimRequested() ? mNow : mNow - gang.mWaitedMs;
            }
            mRecheck = true;
            mPlaced.remove(gang.id());
            mQueue.add(gang);
            mDirty = true;
        }

        @Override
        public void onEnded(Gang gang) {
            mRebind |= gang.mWithinGuarantee;
            mPlaced.remove(gang.id());
            if (gang.mStateAfterStop == JobState.FAILED) {
                mHealth.exonerate(gang.id(), mTopology);
                mRebind = true;
            }
            forget(gang);
            mDirty = true;
        }

        @Override
        public void onMemberFailed(GangMember member) {
            Gang gang = member.mGang;
            Set<WorkerId> avoid = new HashSet<>(gang.mWorkersToAvoid);
            avoid.add(member.mWorker.mId);
            gang.mWorkersToAvoid = avoid;
            if (mHealth.failed(member.mWorker, gang.id(), mNow)) {
                workerLost(member.mWorker);
            }
        }

        @Override
        public void onSucceeded(Gang gang) {
            mEstimates.learn(gang.mSpec, mNow - gang.mPhaseEnteredAtMs);
            gang.mMembers.forEach(member -> mHealth.succeeded(member.mWorker));
        }
    }
}
