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
    private static final long PASS_INTERVAL_MS = 500;

    private final PlacementSettings mSettings;
    private final ActionBuffer mActions = new ActionBuffer();
    private final AcceleratorAllocator mAllocator = new AcceleratorAllocator();
    private final TopologyIndex mTopology;
    private final JobQueue mQueue = new JobQueue();
    private final TeamShares mShares = new TeamShares();
    private final GuaranteeCells mCells;
    private final GangLifecycle mLifecycle;
    private final GangScheduler mScheduler;
    private final WorkerHealth mHealth;
    private final RunTimeEstimates mEstimates = new RunTimeEstimates();
    private final InfeasibleJobs mInfeasibleJobs;
    private final Map<JobId, Gang> mUnfinishedGangs = new HashMap<>();
    private final Map<JobId, Gang> mPlacedGangs = new LinkedHashMap<>();

    /** Ended jobs of a predecessor, whose late tasks must not be taken for a job unknown so far. */
    private final Set<JobId> mEndedJobsOfPreviousOwners = new HashSet<>();

    private boolean mIsOwner;
    private boolean mRecovering;
    private boolean mSchedulingNeeded;
    private long mFencingToken;
    private long mOwnershipGainedAtMs;
    private long mLastPassAtMs;
    private long mNowMs;
    private boolean mRebindNeeded;
    private boolean mFeasibilityCheckNeeded;

    /** Creates a core that owns nothing until {@link PlacementEvent.OwnershipGained}. */
    public GangPlacementCore(PlacementSettings settings) {
        mSettings = settings;
        mTopology = new TopologyIndex(settings.region());
        mCells = new GuaranteeCells(mTopology);
        mInfeasibleJobs = new InfeasibleJobs(mTopology, mShares, settings.maxStartWaitMs());
        mLifecycle = new GangLifecycle(settings, mAllocator, mActions, new LifecycleListener());
        mHealth = new WorkerHealth(settings.initialQuarantineMs());
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
                        mPlacedGangs);
    }

    @Override
    public List<PlacementAction> handle(PlacementEvent event, long nowMillis) {
        mNowMs = nowMillis;
        if (event instanceof PlacementEvent.OwnershipGained gained) {
            reset();
            mIsOwner = true;
            mRecovering = true;
            mFencingToken = gained.token();
            mScheduler.reset(mFencingToken);
            mOwnershipGainedAtMs = nowMillis;
        } else if (event instanceof PlacementEvent.OwnershipLost) {
            reset();
            mIsOwner = false;
        } else if (event instanceof PlacementEvent.WorkersChanged changed) {
            mTopology.update(changed.workers());
            mFeasibilityCheckNeeded = true;
            mRebindNeeded = true;
            mSchedulingNeeded = true;
        } else if (event instanceof PlacementEvent.TableChanged changed) {
            mShares.setTable(changed.table(), mSettings.region());
            mScheduler.dropClaims();
            mCells.setGuarantees(mShares.guarantees());
            mFeasibilityCheckNeeded = true;
            mRebindNeeded = true;
            mSchedulingNeeded = true;
        } else if (mIsOwner) {
            handleAsOwner(event, nowMillis);
        }
        if (mIsOwner && mSchedulingNeeded) {
            schedule(nowMillis);
        }
        return mActions.drain();
    }

    private void handleAsOwner(PlacementEvent event, long now) {
        if (event instanceof PlacementEvent.WorkerReported reported) {
            handleReport(reported.report(), now);
        } else if (event instanceof PlacementEvent.WorkerUnreachable unreachable) {
            handleUnreachable(mTopology.getOrCreate(unreachable.worker()), now);
        } else if (event instanceof PlacementEvent.JobSubmitted submitted) {
            submit(submitted.spec(), now);
        } else if (event instanceof PlacementEvent.JobCancelled cancelled) {
            cancel(cancelled.job(), now);
        } else if (event instanceof PlacementEvent.OrderAnswered answer) {
            handleOrderAnswer(answer, now);
        } else if (event instanceof PlacementEvent.Tick) {
            tick(now);
        }
    }

    private void submit(JobSpec spec, long now) {
        Gang known = mUnfinishedGangs.get(spec.id());
        if (known != null) {
            known.mSubmitted = true;
            return;
        }
        if (mEndedJobsOfPreviousOwners.contains(spec.id())) {
            return;
        }
        Gang gang = new Gang(spec, now);
        gang.mSubmitted = true;
        // Before the rebuild ends, a predecessor may have started the job without a trace here.
        gang.mStartSent = mRecovering;
        gang.mMayPredateOwnership = mRecovering;
        String problem = mInfeasibleJobs.infeasibilityReason(spec);
        if (problem != null) {
            mActions.addJobChange(gang, JobState.NOT_RUN, problem);
            return;
        }
        mUnfinishedGangs.put(spec.id(), gang);
        mQueue.add(gang);
        mSchedulingNeeded = true;
    }

    private void cancel(JobId job, long now) {
        Gang gang = mUnfinishedGangs.get(job);
        if (gang == null) {
            return;
        }
        if (gang.isPlaced()) {
            mLifecycle.cancel(gang, now);
            return;
        }
        if (mRecovering) {
            // A report may still show that the job runs.
            gang.mCancelRequested = true;
            return;
        }
        removeWaiting(gang);
        if (gang.mStartSent) {
            mActions.addJobChange(gang, JobState.CANCELLED, "cancelled");
        } else {
            mActions.addJobChange(gang, JobState.NOT_RUN, "cancelled before start");
        }
    }

    /** Takes a waiting gang out. */
    private void removeWaiting(Gang gang) {
        mScheduler.dropClaim(gang);
        mQueue.remove(gang);
        forget(gang);
    }

    private void endInfeasibleJobs(long now) {
        if (!mFeasibilityCheckNeeded && !mInfeasibleJobs.hasWaitingGangs()) {
            return;
        }
        mFeasibilityCheckNeeded = false;
        mInfeasibleJobs
                .findExpired(mUnfinishedGangs.values(), now)
                .forEach(
                        (gang, reason) -> {
                            removeWaiting(gang);
                            mActions.addJobChange(
                                    gang,
                                    gang.mStartSent ? JobState.FAILED : JobState.NOT_RUN,
                                    reason);
                        });
    }

    private void forget(Gang gang) {
        mUnfinishedGangs.remove(gang.id());
        if (gang.mMayPredateOwnership) {
            mEndedJobsOfPreviousOwners.add(gang.id());
        }
    }

    private void handleOrderAnswer(PlacementEvent.OrderAnswered answer, long now) {
        Gang gang = mUnfinishedGangs.get(answer.job());
        if (gang == null || gang.mAttemptNumber != answer.attempt()) {
            return;
        }
        GangMember member = gang.findMember(answer.member());
        if (member != null && member.mWorker.mId.equals(answer.worker())) {
            mLifecycle.onOrderAnswered(
                    member, answer.kind(), answer.accepted(), answer.reason(), now);
        }
    }

    private void handleReport(WorkerReport report, long now) {
        WorkerState worker = mTopology.getOrCreate(report.worker());
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
            mRebindNeeded = true;
        }
        if (!worker.acceptsNewGangs()) {
            mSchedulingNeeded = true;
        }
        worker.mHasReported = true;
        worker.mNeedsFreshReport = false;
        worker.mReportOverdue = false;
        List<GangMember> missing = new ArrayList<>(worker.mMembers);
        long foreign = 0;
        for (TaskReport task : report.tasks()) {
            GangMember member = findOrAdoptMember(worker, task, now);
            if (member != null) {
                missing.remove(member);
                mLifecycle.onTaskReported(member, task.state(), now);
            } else if (task.state().holdsAccelerators()) {
                foreign |= maskOf(task.accelerators());
                mActions.addOrderForUnknownTask(worker.mId, OrderKind.STOP, task);
            } else {
                mActions.addOrderForUnknownTask(worker.mId, OrderKind.ACK, task);
            }
        }
        if (worker.mUnknownTaskMask != foreign) {
            worker.mUnknownTaskMask = foreign;
            mSchedulingNeeded = true;
        }
        for (GangMember member : missing) {
            if (member.mReportedState != null || (restarted && known)) {
                mLifecycle.onTaskMissing(member, now);
            }
        }
    }

    /** Returns the member that a reported task belongs to, adopting tasks of a predecessor. */
    private GangMember findOrAdoptMember(WorkerState worker, TaskReport task, long now) {
        Gang gang = mUnfinishedGangs.get(task.job());
        boolean own = AttemptNumber.wasIssuedUnder(task.attempt(), mFencingToken);
        if (gang != null && gang.isPlaced() && gang.mAttemptNumber == task.attempt()) {
            GangMember member = gang.findMember(task.member());
            if (member != null) {
                return member.mWorker == worker ? member : null;
            }
            return gang.mPhase == Gang.Phase.ADOPTING ? addAdoptedMember(gang, worker, task) : null;
        }
        // A task that is only reserved was never started and is stopped instead.
        boolean adoptable =
                !own
                        && !mEndedJobsOfPreviousOwners.contains(task.job())
                        && (task.state() == TaskState.RUNNING || task.state() == TaskState.DONE);
        if (!adoptable) {
            return null;
        }
        if (gang == null) {
            gang = new Gang(task.spec(), now);
            mUnfinishedGangs.put(task.job(), gang);
        } else if (!gang.isPlaced()) {
            mScheduler.dropClaim(gang);
            mQueue.remove(gang);
        } else if (gang.mPhase == Gang.Phase.ADOPTING && task.attempt() > gang.mAttemptNumber) {
            // The tasks seen so far belong to an earlier attempt; they are stopped as unknown.
            gang.mMembers.forEach(mAllocator::release);
            gang.mMembers.clear();
        } else {
            return null;
        }
        gang.mEligibleAtMs = mOwnershipGainedAtMs + mSettings.leaseExpiryMs();
        gang.mStartSent = true;
        gang.mMayPredateOwnership = true;
        gang.mPhase = Gang.Phase.ADOPTING;
        gang.mAttemptNumber = task.attempt();
        gang.mFailedRuns = AttemptNumber.runNumber(task.attempt()) - 1;
        gang.mPhaseEnteredAtMs = now;
        mPlacedGangs.put(task.job(), gang);
        return addAdoptedMember(gang, worker, task);
    }

    private GangMember addAdoptedMember(Gang gang, WorkerState worker, TaskReport task) {
        GangMember member =
                new GangMember(gang, task.member(), worker, maskOf(task.accelerators()));
        member.mHeldUntilMs = worker.mReportedAtMs + mSettings.leaseExpiryMs();
        gang.mMembers.add(member);
        mAllocator.allocate(member);
        return member;
    }

    private void handleUnreachable(WorkerState worker, long now) {
        if (!worker.mNeedsFreshReport) {
            worker.mNeedsFreshReport = true;
            mSchedulingNeeded = true;
        }
        abortUnstarted(worker, "unreachable", now);
    }

    private void onWorkerLost(WorkerState worker) {
        mSchedulingNeeded = true;
        mRebindNeeded |= worker.totalCellAccelerators() > 0;
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
        for (WorkerState worker : mTopology.knownWorkers()) {
            if (!worker.mReportOverdue && isReportOverdue(worker, now)) {
                worker.mReportOverdue = true;
                onWorkerLost(worker);
                abortUnstarted(worker, "silent", now);
            }
        }
        if (mRecovering) {
            boolean complete =
                    mTopology.listedWorkers().stream().allMatch(worker -> worker.mHasReported);
            if ((complete && !mTopology.listedWorkers().isEmpty())
                    || now >= mOwnershipGainedAtMs + mSettings.leaseExpiryMs()) {
                mRecovering = false;
                mSchedulingNeeded = true;
                for (Gang gang : List.copyOf(mUnfinishedGangs.values())) {
                    if (gang.mCancelRequested && !gang.isPlaced()) {
                        cancel(gang.id(), now);
                    }
                }
            }
        }
        for (Gang gang : List.copyOf(mPlacedGangs.values())) {
            if (gang.mPhase == Gang.Phase.ADOPTING) {
                boolean whole = gang.mMembers.size() == gang.mSpec.shape().workers();
                if (whole || now >= gang.mPhaseEnteredAtMs + mSettings.adoptionTimeoutMs()) {
                    mLifecycle.completeAdoption(gang, now);
                    if (gang.mCancelRequested && gang.isPlaced()) {
                        mLifecycle.cancel(gang, now);
                    }
                }
            } else {
                mLifecycle.tick(gang, now);
            }
        }
        if (mHealth.endExpiredQuarantines(mTopology, now)) {
            mSchedulingNeeded = true;
            mRebindNeeded = true;
        }
        mSchedulingNeeded |= mScheduler.hasClaims() || now - mLastPassAtMs >= PASS_INTERVAL_MS;
    }

    private boolean isReportOverdue(WorkerState worker, long now) {
        long bound =
                worker.hasCommittedMembers()
                        ? mSettings.reportTimeoutMs()
                        : mSettings.idleReportTimeoutMs();
        return worker.mHasReported && now - worker.mReportedAtMs > bound;
    }

    private void schedule(long now) {
        mSchedulingNeeded = false;
        if (mRecovering) {
            return;
        }
        endInfeasibleJobs(now);
        // A claim on a lost worker counts as use, so it would keep its cell from moving away.
        mScheduler.dropInvalidClaims();
        if (mRebindNeeded) {
            mRebindNeeded = false;
            mCells.rebind();
            mPlacedGangs.values().forEach(mCells::promote);
        }
        mScheduler.runPass(now);
        mLastPassAtMs = now;
    }

    /** Returns whether accelerators of the worker are kept free for a waiting gang. */
    boolean isClaimed(WorkerId worker) {
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
        mCells.checkInvariants();
    }

    /** Returns whether a search finds room for all unused cells beside the gangs in guarantee. */
    boolean canRebindUnusedCells(GuaranteeCells.PackingSearch search) {
        return mCells.canRebindUnusedCells(search);
    }

    private void reset() {
        mQueue.clear();
        mUnfinishedGangs.clear();
        mPlacedGangs.clear();
        mEndedJobsOfPreviousOwners.clear();
        mScheduler.dropClaims();
        mCells.unbindAll();
        mHealth.clear();
        mInfeasibleJobs.clear();
        mFeasibilityCheckNeeded = true;
        mTopology.knownWorkers().forEach(WorkerState::reset);
        mRebindNeeded = true;
        mRecovering = false;
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
            mRebindNeeded |= gang.mWithinGuarantee;
            gang.mWithinGuarantee = false;
            if (gang.mStartSent) {
                gang.mQueuedAtMs = gang.isReclaimRequested() ? mNowMs : mNowMs - gang.mWaitedMs;
            }
            mFeasibilityCheckNeeded = true;
            mPlacedGangs.remove(gang.id());
            mQueue.add(gang);
            mSchedulingNeeded = true;
        }

        @Override
        public void onEnded(Gang gang) {
            mRebindNeeded |= gang.mWithinGuarantee;
            mPlacedGangs.remove(gang.id());
            if (gang.mStateAfterStop == JobState.FAILED) {
                mHealth.discardFailures(gang.id(), mTopology);
                mRebindNeeded = true;
            }
            forget(gang);
            mSchedulingNeeded = true;
        }

        @Override
        public void onMemberFailed(GangMember member) {
            Gang gang = member.mGang;
            Set<WorkerId> avoid = new HashSet<>(gang.mWorkersToAvoid);
            avoid.add(member.mWorker.mId);
            gang.mWorkersToAvoid = avoid;
            if (mHealth.recordFailure(member.mWorker, gang.id(), mNowMs)) {
                onWorkerLost(member.mWorker);
            }
        }

        @Override
        public void onSucceeded(Gang gang) {
            mEstimates.addSample(gang.mSpec, mNowMs - gang.mPhaseEnteredAtMs);
            gang.mMembers.forEach(member -> mHealth.recordSuccess(member.mWorker));
        }
    }
}
