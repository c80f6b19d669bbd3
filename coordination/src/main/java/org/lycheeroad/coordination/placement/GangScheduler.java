package org.lycheeroad.coordination.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.function.ToIntFunction;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;

/**
 * Decides which waiting gangs start and on which workers.
 *
 * <p>Gangs that their team's guarantee covers are placed first and may reclaim accelerators from
 * borrowers. What remains is shared among the teams by weighted max-min fairness. A gang that has
 * waited long enough gets a claim on workers, so that smaller gangs do not starve it.
 */
final class GangScheduler {
    // Waiting gangs of one team considered in one pass; bounds the cost of a pass on long queues.
    private static final int LOOKAHEAD_GANGS = 32;
    // Claims of borrowers at one time, at most one per team; more would idle too many accelerators.
    private static final int MAX_BORROWER_CLAIMS = 4;
    // Greater than the accelerators of a worker, so that it outweighs the other costs: a worker on
    // which the gang failed is chosen only if no other fits.
    private static final int AVOIDED_WORKER_COST = 1 << 10;
    private static final long MS_PER_COST_UNIT = 1_000;

    /**
     * Properties of a gang that decide whether its team's cells can hold it. If one gang does not
     * fit in a pass, no gang of the team with equal requirements does.
     */
    private record Requirements(Shape shape, boolean urgent, int failedRuns) {
        static Requirements of(Gang gang) {
            return new Requirements(gang.mSpec.shape(), gang.mSpec.urgent(), gang.mFailedRuns);
        }
    }

    private final PlacementSettings mSettings;
    private final TopologyIndex mTopology;
    private final GuaranteeCells mCells;
    private final TeamShares mShares;
    private final JobQueue mQueue;
    private final GangLifecycle mLifecycle;
    private final BorrowerPriority mPriority;
    private final ReclaimPlanner mReclaimPlanner;
    private final WorkerHealth mHealth;
    private final RunTimeEstimates mEstimates;
    private final ReleaseForecast mForecast;
    private final Map<JobId, Gang> mPlacedGangs;
    private final Map<JobId, Gang> mClaimingGangs = new LinkedHashMap<>();
    private final List<Shape> mShapesWithoutRoom = new ArrayList<>();
    private long mFencingToken;

    GangScheduler(
            PlacementSettings settings,
            TopologyIndex topology,
            GuaranteeCells cells,
            TeamShares shares,
            JobQueue queue,
            GangLifecycle lifecycle,
            WorkerHealth health,
            RunTimeEstimates estimates,
            Map<JobId, Gang> placed) {
        mSettings = settings;
        mTopology = topology;
        mCells = cells;
        mShares = shares;
        mQueue = queue;
        mLifecycle = lifecycle;
        mPriority = new BorrowerPriority(shares);
        mReclaimPlanner = new ReclaimPlanner(settings, mPriority, lifecycle);
        mHealth = health;
        mEstimates = estimates;
        mForecast = new ReleaseForecast(estimates);
        mPlacedGangs = placed;
    }

    void reset(long fencingToken) {
        mFencingToken = fencingToken;
        mClaimingGangs.clear();
    }

    boolean hasClaims() {
        return !mClaimingGangs.isEmpty();
    }

    void dropClaim(Gang gang) {
        if (mClaimingGangs.remove(gang.id()) != null) {
            mReclaimPlanner.dropClaim(gang);
        }
    }

    void dropClaims() {
        for (Gang gang : List.copyOf(mClaimingGangs.values())) {
            dropClaim(gang);
        }
    }

    /** Drops claims that their workers can no longer fulfil. */
    void dropInvalidClaims() {
        for (Gang gang : List.copyOf(mClaimingGangs.values())) {
            if (!mReclaimPlanner.isClaimValid(gang)) {
                dropClaim(gang);
            }
        }
    }

    /**
     * Runs one scheduling pass.
     *
     * <p>Starts gangs whose claimed accelerators are free, places gangs within guarantees, places
     * borrowers, updates the claims of borrowers, reclaims accelerators for all claims and starts
     * gangs whose claims became free by that.
     */
    void runPass(long nowMs) {
        mShares.recount(mPlacedGangs.values());
        dropInvalidClaims();
        startReadyClaims(nowMs);
        for (TeamId team : mQueue.teams()) {
            placeWithinGuarantee(team, nowMs);
        }
        placeBorrowers(nowMs);
        addBorrowerClaims(nowMs);
        for (Gang gang : List.copyOf(mClaimingGangs.values())) {
            mReclaimPlanner.stopBorrowers(gang, nowMs);
        }
        startReadyClaims(nowMs);
    }

    private void startReadyClaims(long nowMs) {
        List<Gang> claimingGangs = new ArrayList<>(mClaimingGangs.values());
        claimingGangs.removeIf(gang -> !gang.mWithinGuarantee);
        claimingGangs.sort(Comparator.comparingInt(gang -> -gang.mSpec.shape().accelerators()));
        claimingGangs.addAll(claimingBorrowers());
        for (Gang gang : claimingGangs) {
            if (mReclaimPlanner.isClaimReady(gang)) {
                List<WorkerState> workers = gang.mClaimedWorkers;
                boolean guaranteed = gang.mWithinGuarantee;
                dropClaim(gang);
                place(gang, workers, guaranteed, nowMs);
            }
        }
    }

    private void placeWithinGuarantee(TeamId team, long nowMs) {
        if (!mShares.guarantees().containsKey(team)) {
            return;
        }
        Set<Requirements> notFitting = new HashSet<>();
        for (Gang gang : mQueue.firstGangs(team, LOOKAHEAD_GANGS)) {
            if (!canPlace(gang, nowMs) || notFitting.contains(Requirements.of(gang))) {
                continue;
            }
            if (mClaimingGangs.containsKey(gang.id())) {
                if (gang.mWithinGuarantee || chooseUnusedCells(gang) == null) {
                    continue;
                }
                dropClaim(gang);
            }
            List<WorkerState> freeWorkers =
                    choose(
                            gang,
                            worker ->
                                    Math.min(
                                            mCells.unusedAccelerators(worker, team),
                                            worker.free() - worker.claimedAccelerators(true)),
                            worker -> worker.claimedAccelerators(false));
            if (freeWorkers == null) {
                freeWorkers = mCells.moveUnusedCell(gang.mSpec, worker -> canUse(worker, gang));
            }
            if (freeWorkers != null) {
                place(gang, freeWorkers, true, nowMs);
                continue;
            }
            List<WorkerState> workersToClaim = chooseUnusedCells(gang);
            if (workersToClaim == null) {
                notFitting.add(Requirements.of(gang));
            }
            if (workersToClaim != null && !gang.mSpec.urgent()) {
                // Free accelerators elsewhere are used first, as stopping a borrower loses work.
                List<WorkerState> unclaimedWorkers = chooseUnclaimed(gang);
                if (unclaimedWorkers != null) {
                    place(gang, unclaimedWorkers, false, nowMs);
                    continue;
                }
            }
            if (workersToClaim != null) {
                mReclaimPlanner.claim(gang, workersToClaim, true);
                mClaimingGangs.put(gang.id(), gang);
            }
        }
    }

    /** Returns workers whose unused cells cover the gang once borrowers have stopped, or null. */
    private List<WorkerState> chooseUnusedCells(Gang gang) {
        int acceleratorsPerWorker = gang.mSpec.shape().acceleratorsPerWorker();
        return choose(
                gang,
                worker -> mCells.unusedAccelerators(worker, gang.mSpec.team()),
                worker ->
                        Math.max(
                                0,
                                acceleratorsPerWorker
                                        + worker.claimedAccelerators(true)
                                        - worker.free()));
    }

    /** Places borrowers, always next from the team that borrows least relative to its weight. */
    private void placeBorrowers(long nowMs) {
        mShapesWithoutRoom.clear();
        Map<TeamId, Queue<Gang>> waiting = new HashMap<>();
        for (TeamId team : mQueue.teams()) {
            waiting.put(
                    team,
                    new ArrayDeque<>(
                            shortestFirst(mQueue.firstGangs(team, LOOKAHEAD_GANGS), nowMs)));
        }
        List<TeamId> teams = new ArrayList<>(mQueue.teams());
        while (!teams.isEmpty()) {
            TeamId team =
                    teams.stream()
                            .min(Comparator.comparingDouble(mShares::weightedBorrowed))
                            .orElseThrow();
            Gang gang = waiting.get(team).poll();
            if (gang == null) {
                teams.remove(team);
            } else if (canPlace(gang, nowMs) && !mClaimingGangs.containsKey(gang.id())) {
                placeBorrower(gang, nowMs);
            }
        }
    }

    /**
     * Sorts gangs by urgency, then by estimated run time divided by time since submission, so that
     * short gangs come first but long ones do not starve.
     */
    private List<Gang> shortestFirst(List<Gang> gangs, long nowMs) {
        List<Gang> ordered = new ArrayList<>(gangs);
        ordered.sort(
                Comparator.comparing((Gang gang) -> !gang.mSpec.urgent())
                        .thenComparingDouble(
                                gang ->
                                        mEstimates.estimateMs(gang.mSpec)
                                                / (1.0 + nowMs - gang.mSubmittedAtMs)));
        return ordered;
    }

    private void placeBorrower(Gang gang, long nowMs) {
        Shape shape = gang.mSpec.shape();
        for (Shape notFitting : mShapesWithoutRoom) {
            if (isAtLeastAsDemanding(shape, notFitting)) {
                return;
            }
        }
        List<WorkerState> workers = chooseUnclaimed(gang);
        if (workers == null) {
            mShapesWithoutRoom.add(shape);
        } else {
            place(gang, workers, false, nowMs);
        }
    }

    /** Returns workers with enough unclaimed accelerators, or null; avoids idle cells of teams. */
    private List<WorkerState> chooseUnclaimed(Gang gang) {
        int acceleratorsPerWorker = gang.mSpec.shape().acceleratorsPerWorker();
        return chooseForBorrower(
                gang,
                worker -> worker.free() - worker.claimedAccelerators(false),
                worker ->
                        worker.free() - mCells.idleAccelerators(worker) >= acceleratorsPerWorker
                                ? 0
                                : 1);
    }

    /**
     * Adds claims for borrowers that have waited long enough: for the longest waiting gang of each
     * team without such a claim, teams that borrow least relative to their weight first.
     */
    private void addBorrowerClaims(long nowMs) {
        moveBorrowerClaims(nowMs);
        Set<TeamId> teamsWithClaim = new HashSet<>();
        for (Gang gang : mClaimingGangs.values()) {
            if (!gang.mWithinGuarantee) {
                teamsWithClaim.add(gang.mSpec.team());
            }
        }
        List<Gang> longWaiting = new ArrayList<>();
        for (TeamId team : mQueue.teams()) {
            if (!teamsWithClaim.contains(team)) {
                mQueue.firstGangs(team, LOOKAHEAD_GANGS).stream()
                        .filter(gang -> nowMs - gang.mQueuedAtMs >= mSettings.claimAfterMs())
                        .filter(
                                gang ->
                                        canPlace(gang, nowMs)
                                                && !mClaimingGangs.containsKey(gang.id()))
                        .min(Comparator.comparingLong(gang -> gang.mQueuedAtMs))
                        .ifPresent(longWaiting::add);
            }
        }
        longWaiting.sort(
                Comparator.comparingDouble(
                                (Gang gang) -> mShares.weightedBorrowed(gang.mSpec.team()))
                        .thenComparingLong(gang -> gang.mQueuedAtMs));
        int claimCount = teamsWithClaim.size();
        for (Gang gang : longWaiting) {
            if (claimCount >= MAX_BORROWER_CLAIMS) {
                return;
            }
            List<WorkerState> workers = chooseSoonestReleased(gang, nowMs);
            if (workers != null) {
                mReclaimPlanner.claim(gang, workers, false);
                mClaimingGangs.put(gang.id(), gang);
                claimCount++;
            }
        }
    }

    /** Moves claims of borrowers, in order of priority, to the workers likely to be free first. */
    private void moveBorrowerClaims(long nowMs) {
        List<Gang> borrowers = claimingBorrowers();
        for (Gang gang : borrowers) {
            mReclaimPlanner.dropClaim(gang);
            List<WorkerState> workers = chooseSoonestReleased(gang, nowMs);
            if (workers == null) {
                mClaimingGangs.remove(gang.id());
            } else {
                mReclaimPlanner.claim(gang, workers, false);
            }
        }
    }

    /** Returns the borrowers with claims in order of priority. */
    private List<Gang> claimingBorrowers() {
        List<Gang> borrowers = new ArrayList<>(mClaimingGangs.values());
        borrowers.removeIf(gang -> gang.mWithinGuarantee);
        return mPriority.sorted(borrowers);
    }

    /** Returns the workers that are likely to have room for the gang soonest, or null. */
    private List<WorkerState> chooseSoonestReleased(Gang gang, long nowMs) {
        int acceleratorsPerWorker = gang.mSpec.shape().acceleratorsPerWorker();
        return chooseForBorrower(
                gang,
                worker ->
                        worker.capacity()
                                - worker.nonReclaimable()
                                - worker.claimedWithPriorityOver(gang, mPriority),
                worker -> {
                    int missing =
                            acceleratorsPerWorker
                                    + worker.claimedWithPriorityOver(gang, mPriority)
                                    - worker.free();
                    if (missing <= 0) {
                        return 0;
                    }
                    long untilReleasedMs = mForecast.millisUntilReleased(worker, missing, nowMs);
                    return (int)
                            Math.min(
                                    AVOIDED_WORKER_COST - 1,
                                    1 + untilReleasedMs / MS_PER_COST_UNIT);
                });
    }

    private boolean canPlace(Gang gang, long nowMs) {
        return !gang.isPlaced() && nowMs >= gang.mEligibleAtMs && mShares.isWithinLimit(gang.mSpec);
    }

    private void place(Gang gang, List<WorkerState> workers, boolean guaranteed, long nowMs) {
        if (!mShares.isWithinLimit(gang.mSpec)) {
            return;
        }
        mQueue.remove(gang);
        mPlacedGangs.put(gang.id(), gang);
        gang.mWithinGuarantee = guaranteed;
        mShares.add(gang);
        mLifecycle.place(gang, workers, mFencingToken, nowMs);
    }

    private List<WorkerState> choose(
            Gang gang, ToIntFunction<WorkerState> available, ToIntFunction<WorkerState> cost) {
        return choose(gang, available, cost, false);
    }

    /**
     * Chooses workers for a borrower; a large one gets the workers with the most room.
     *
     * <p>The members of a large gang need many different workers. If they filled the workers with
     * the least room, too few workers would be left for another large gang.
     */
    private List<WorkerState> chooseForBorrower(
            Gang gang, ToIntFunction<WorkerState> available, ToIntFunction<WorkerState> cost) {
        return choose(gang, available, cost, BorrowerPriority.isLarge(gang));
    }

    private List<WorkerState> choose(
            Gang gang,
            ToIntFunction<WorkerState> available,
            ToIntFunction<WorkerState> cost,
            boolean mostAvailableFirst) {
        return PackingPlanner.choose(
                mTopology,
                gang.mSpec.shape(),
                worker -> canUse(worker, gang) ? available.applyAsInt(worker) : 0,
                worker ->
                        cost.applyAsInt(worker)
                                + (gang.mWorkersToAvoid.contains(worker.mId)
                                        ? AVOIDED_WORKER_COST
                                        : 0),
                mostAvailableFirst);
    }

    /**
     * Returns whether the worker may run the gang.
     *
     * <p>A worker on probation gets one gang at a time, which has one member, is not urgent and
     * does not risk its last run.
     */
    private boolean canUse(WorkerState worker, Gang gang) {
        return worker.acceptsNewGangs()
                && (!mHealth.isProbing(worker)
                        || (worker.mMembers.isEmpty()
                                && !gang.mSpec.urgent()
                                && gang.mSpec.shape().workers() == 1
                                && gang.mFailedRuns < mSettings.maxRuns() - 1));
    }

    /** Returns whether a shape needs at least what another one needs. */
    private static boolean isAtLeastAsDemanding(Shape shape, Shape other) {
        return shape.workers() >= other.workers()
                && shape.acceleratorsPerWorker() >= other.acceleratorsPerWorker()
                && (shape.adjacency() == other.adjacency() || other.adjacency() != Adjacency.RACK);
    }
}
