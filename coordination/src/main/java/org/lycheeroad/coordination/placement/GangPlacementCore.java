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
 * Places the gangs of one region and stops every gang that is no longer complete.
 *
 * <p>While the entry does not own the region's placement, events change only the worker list and
 * the table. After an owner change, the caller must submit every job whose recorded state is not
 * final; submissions and worker reports may arrive in any order, and a job that is already known is
 * not queued twice. The caller must discard state changes of a job whose recorded state is final.
 */
public final class GangPlacementCore implements PlacementCore {
    // A scheduling pass runs at least this often, for rules that depend on time alone, such as
    // the wait after which workers are kept free for a gang.
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

    /**
     * Ended jobs that a previous owner may have started. Their tasks may still be reported and must
     * not be adopted as a new job.
     */
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

    /** Creates a core that places nothing until {@link PlacementEvent.OwnershipGained}. */
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
    public List<PlacementAction> handle(PlacementEvent event, long nowMs) {
        mNowMs = nowMs;
        if (event instanceof PlacementEvent.OwnershipGained gained) {
            reset();
            mIsOwner = true;
            mRecovering = true;
            mFencingToken = gained.token();
            mScheduler.reset(mFencingToken);
            mOwnershipGainedAtMs = nowMs;
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
            handleAsOwner(event, nowMs);
        }
        if (mIsOwner && mSchedulingNeeded) {
            schedule(nowMs);
        }
        return mActions.drain();
    }

    private void handleAsOwner(PlacementEvent event, long nowMs) {
        if (event instanceof PlacementEvent.WorkerReported reported) {
            handleReport(reported.report(), nowMs);
        } else if (event instanceof PlacementEvent.WorkerUnreachable unreachable) {
            handleUnreachable(mTopology.getOrCreate(unreachable.worker()), nowMs);
        } else if (event instanceof PlacementEvent.JobSubmitted submitted) {
            submit(submitted.spec(), nowMs);
        } else if (event instanceof PlacementEvent.JobCancelled cancelled) {
            cancel(cancelled.job(), nowMs);
        } else if (event instanceof PlacementEvent.OrderAnswered answer) {
            handleOrderAnswer(answer, nowMs);
        } else if (event instanceof PlacementEvent.Tick) {
            tick(nowMs);
        }
    }

    private void submit(JobSpec spec, long nowMs) {
        Gang existing = mUnfinishedGangs.get(spec.id());
        if (existing != null) {
            existing.mSubmitted = true;
            return;
        }
        if (mEndedJobsOfPreviousOwners.contains(spec.id())) {
            return;
        }
        Gang gang = new Gang(spec, nowMs);
        gang.mSubmitted = true;
        // Until recovery ends, the previous owner may have started the job without a report of it
        // having arrived yet.
        gang.mStartSent = mRecovering;
        gang.mMayPredateOwnership = mRecovering;
        String reason = mInfeasibleJobs.infeasibilityReason(spec);
        if (reason != null) {
            mActions.addJobChange(gang, JobState.NOT_RUN, reason);
            return;
        }
        mUnfinishedGangs.put(spec.id(), gang);
        mQueue.add(gang);
        mSchedulingNeeded = true;
    }

    private void cancel(JobId job, long nowMs) {
        Gang gang = mUnfinishedGangs.get(job);
        if (gang == null) {
            return;
        }
        if (gang.isPlaced()) {
            mLifecycle.cancel(gang, nowMs);
            return;
        }
        if (mRecovering) {
            // The cancellation waits for recovery, as a report may still show that the job runs.
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

    /** Removes a waiting gang from the claims, the queue and the unfinished gangs. */
    private void removeWaiting(Gang gang) {
        mScheduler.dropClaim(gang);
        mQueue.remove(gang);
        forget(gang);
    }

    private void endInfeasibleJobs(long nowMs) {
        if (!mFeasibilityCheckNeeded && !mInfeasibleJobs.hasGangsAwaitingWorkers()) {
            return;
        }
        mFeasibilityCheckNeeded = false;
        mInfeasibleJobs
                .findExpired(mUnfinishedGangs.values(), nowMs)
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

    private void handleOrderAnswer(PlacementEvent.OrderAnswered answer, long nowMs) {
        Gang gang = mUnfinishedGangs.get(answer.job());
        if (gang == null || gang.mAttemptNumber != answer.attempt()) {
            return;
        }
        GangMember member = gang.findMember(answer.member());
        if (member != null && member.mWorker.mId.equals(answer.worker())) {
            mLifecycle.onOrderAnswered(
                    member, answer.kind(), answer.accepted(), answer.reason(), nowMs);
        }
    }

    private void handleReport(WorkerReport report, long nowMs) {
        WorkerState worker = mTopology.getOrCreate(report.worker());
        boolean restarted = report.incarnation() > worker.mIncarnation;
        if (report.incarnation() < worker.mIncarnation
                || (!restarted && report.sequence() < worker.mSequence)) {
            return;
        }
        boolean reportedBefore = worker.mHasReported;
        worker.mIncarnation = report.incarnation();
        worker.mSequence = report.sequence();
        worker.mReportedAtMs = nowMs;
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
        long unknownTaskMask = 0;
        for (TaskReport task : report.tasks()) {
            GangMember member = findOrAdoptMember(worker, task, nowMs);
            if (member != null) {
                missing.remove(member);
                mLifecycle.onTaskReported(member, task.state(), nowMs);
            } else if (task.state().holdsAccelerators()) {
                unknownTaskMask |= maskOf(task.accelerators());
                mActions.addOrderForUnknownTask(worker.mId, OrderKind.STOP, task);
            } else {
                mActions.addOrderForUnknownTask(worker.mId, OrderKind.ACK, task);
            }
        }
        if (worker.mUnknownTaskMask != unknownTaskMask) {
            worker.mUnknownTaskMask = unknownTaskMask;
            mSchedulingNeeded = true;
        }
        for (GangMember member : missing) {
            if (member.mReportedState != null || (restarted && reportedBefore)) {
                mLifecycle.onTaskMissing(member, nowMs);
            }
        }
    }

    /**
     * Returns the member that a reported task belongs to, or null.
     *
     * <p>A running or finished task of a previous owner becomes a member of a gang in adoption.
     */
    private GangMember findOrAdoptMember(WorkerState worker, TaskReport task, long nowMs) {
        Gang gang = mUnfinishedGangs.get(task.job());
        boolean issuedByThisOwner = AttemptNumber.wasIssuedUnder(task.attempt(), mFencingToken);
        if (gang != null && gang.isPlaced() && gang.mAttemptNumber == task.attempt()) {
            GangMember member = gang.findMember(task.member());
            if (member != null) {
                return member.mWorker == worker ? member : null;
            }
            return gang.mPhase == Gang.Phase.ADOPTING ? addAdoptedMember(gang, worker, task) : null;
        }
        // Only running and finished tasks are adopted. Reserved and confirmed ones were never
        // started and are stopped; ended ones are acknowledged.
        boolean adoptable =
                !issuedByThisOwner
                        && !mEndedJobsOfPreviousOwners.contains(task.job())
                        && (task.state() == TaskState.RUNNING || task.state() == TaskState.DONE);
        if (!adoptable) {
            return null;
        }
        if (gang == null) {
            gang = new Gang(task.spec(), nowMs);
            mUnfinishedGangs.put(task.job(), gang);
        } else if (!gang.isPlaced()) {
            mScheduler.dropClaim(gang);
            mQueue.remove(gang);
        } else if (gang.mPhase == Gang.Phase.ADOPTING && task.attempt() > gang.mAttemptNumber) {
            // The members adopted so far belong to an earlier attempt. They are dropped here and
            // stopped as unknown tasks when they are reported again.
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
        gang.mPhaseEnteredAtMs = nowMs;
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

    private void handleUnreachable(WorkerState worker, long nowMs) {
        if (!worker.mNeedsFreshReport) {
            worker.mNeedsFreshReport = true;
            mSchedulingNeeded = true;
        }
        abortUnstarted(worker, "unreachable", nowMs);
    }

    private void onWorkerLost(WorkerState worker) {
        mSchedulingNeeded = true;
        mRebindNeeded |= worker.totalCellAccelerators() > 0;
    }

    private void abortUnstarted(WorkerState worker, String problem, long nowMs) {
        for (GangMember member : List.copyOf(worker.mMembers)) {
            Gang gang = member.mGang;
            if (gang.mPhase == Gang.Phase.RESERVING || gang.mPhase == Gang.Phase.CONFIRMING) {
                mLifecycle.failRun(gang, "worker " + worker.mId + " is " + problem, nowMs);
            }
        }
    }

    private void tick(long nowMs) {
        for (WorkerState worker : mTopology.knownWorkers()) {
            if (!worker.mReportOverdue && isReportOverdue(worker, nowMs)) {
                worker.mReportOverdue = true;
                onWorkerLost(worker);
                abortUnstarted(worker, "silent", nowMs);
            }
        }
        if (mRecovering) {
            boolean allReported =
                    mTopology.listedWorkers().stream().allMatch(worker -> worker.mHasReported);
            if ((allReported && !mTopology.listedWorkers().isEmpty())
                    || nowMs >= mOwnershipGainedAtMs + mSettings.leaseExpiryMs()) {
                mRecovering = false;
                mSchedulingNeeded = true;
                for (Gang gang : List.copyOf(mUnfinishedGangs.values())) {
                    if (gang.mCancelRequested && !gang.isPlaced()) {
                        cancel(gang.id(), nowMs);
                    }
                }
            }
        }
        for (Gang gang : List.copyOf(mPlacedGangs.values())) {
            if (gang.mPhase == Gang.Phase.ADOPTING) {
                boolean allMembersReported = gang.mMembers.size() == gang.mSpec.shape().workers();
                if (allMembersReported
                        || nowMs >= gang.mPhaseEnteredAtMs + mSettings.adoptionTimeoutMs()) {
                    mLifecycle.completeAdoption(gang, nowMs);
                    if (gang.mCancelRequested && gang.isPlaced()) {
                        mLifecycle.cancel(gang, nowMs);
                    }
                }
            } else {
                mLifecycle.tick(gang, nowMs);
            }
        }
        if (mHealth.endExpiredQuarantines(mTopology, nowMs)) {
            mSchedulingNeeded = true;
            mRebindNeeded = true;
        }
        mSchedulingNeeded |= mScheduler.hasClaims() || nowMs - mLastPassAtMs >= PASS_INTERVAL_MS;
    }

    private boolean isReportOverdue(WorkerState worker, long nowMs) {
        long timeoutMs =
                worker.hasCommittedMembers()
                        ? mSettings.reportTimeoutMs()
                        : mSettings.idleReportTimeoutMs();
        return worker.mHasReported && nowMs - worker.mReportedAtMs > timeoutMs;
    }

    private void schedule(long nowMs) {
        mSchedulingNeeded = false;
        if (mRecovering) {
            return;
        }
        endInfeasibleJobs(nowMs);
        // A claim counts as use of its cell, so a claim on a lost worker would keep the cell from
        // moving to another worker.
        mScheduler.dropInvalidClaims();
        if (mRebindNeeded) {
            mRebindNeeded = false;
            mCells.rebind();
            mPlacedGangs.values().forEach(mCells::promote);
        }
        mScheduler.runPass(nowMs);
        mLastPassAtMs = nowMs;
    }

    /** Returns whether a waiting gang has a claim on the worker. */
    boolean isClaimed(WorkerId worker) {
        WorkerState state = mTopology.find(worker);
        return state != null && !state.mClaims.isEmpty();
    }

    boolean isQuarantined(WorkerId worker) {
        WorkerState state = mTopology.find(worker);
        return state != null && state.mQuarantined;
    }

    /**
     * Checks that stopping borrowers alone would free every bound cell.
     *
     * @throws IllegalStateException if it would not
     */
    void checkGuarantees() {
        mCells.checkInvariants();
    }

    /** Returns whether all unused cells fit beside the gangs that run within a guarantee. */
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

    /** Updates the queue, cells, worker health and estimates when an attempt ends. */
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
