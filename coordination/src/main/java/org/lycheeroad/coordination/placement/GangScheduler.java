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
 * Decides which waiting gang starts where.
 *
 * <p>Gangs within their team's guarantee come first and may stop borrowers. The rest is shared by
 * weighted max-min fairness. A gang that has waited for long gets workers kept free for it.
 */
final class GangScheduler {
    // Gangs of one team looked at in one pass; bounds the cost of a pass with a long queue.
    private static final int LOOKAHEAD_GANGS = 32;
    // At most one per team; more at once would keep too many accelerators idle.
    private static final int MAX_BORROWER_CLAIMS = 4;
    // Greater than the accelerators of a worker, so that avoiding a worker outweighs the fit.
    private static final int AVOIDED_WORKER_COST = 1 << 10;
    private static final long MS_PER_COST_UNIT = 1_000;

    /** What decides within one pass whether a team's cells can hold a gang. */
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

    void reset(long token) {
        mFencingToken = token;
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

    /** Gives up claims that their workers can no longer serve. */
    void dropInvalidClaims() {
        for (Gang gang : List.copyOf(mClaimingGangs.values())) {
            if (!mReclaimPlanner.isClaimValid(gang)) {
                dropClaim(gang);
            }
        }
    }

    /** Runs one pass over claims and queues. */
    void runPass(long now) {
        mShares.recount(mPlacedGangs.values());
        dropInvalidClaims();
        startReadyClaims(now);
        for (TeamId team : mQueue.teams()) {
            placeWithinGuarantee(team, now);
        }
        placeBorrowers(now);
        addBorrowerClaims(now);
        for (Gang gang : List.copyOf(mClaimingGangs.values())) {
            mReclaimPlanner.stopBorrowers(gang, now);
        }
        startReadyClaims(now);
    }

    private void startReadyClaims(long now) {
        List<Gang> claims = new ArrayList<>(mClaimingGangs.values());
        claims.removeIf(gang -> !gang.mWithinGuarantee);
        claims.sort(Comparator.comparingInt(gang -> -gang.mSpec.shape().accelerators()));
        claims.addAll(claimingBorrowers());
        for (Gang gang : claims) {
            if (mReclaimPlanner.isClaimReady(gang)) {
                List<WorkerState> workers = gang.mClaimedWorkers;
                boolean guaranteed = gang.mWithinGuarantee;
                dropClaim(gang);
                place(gang, workers, guaranteed, now);
            }
        }
    }

    private void placeWithinGuarantee(TeamId team, long now) {
        if (!mShares.guarantees().containsKey(team)) {
            return;
        }
        Set<Requirements> failed = new HashSet<>();
        for (Gang gang : mQueue.firstGangs(team, LOOKAHEAD_GANGS)) {
            if (!canPlace(gang, now) || failed.contains(Requirements.of(gang))) {
                continue;
            }
            if (mClaimingGangs.containsKey(gang.id())) {
                if (gang.mWithinGuarantee || chooseUnusedCells(gang) == null) {
                    continue;
                }
                dropClaim(gang);
            }
            List<WorkerState> free =
                    choose(
                            gang,
                            worker ->
                                    Math.min(
                                            mCells.unusedAccelerators(worker, team),
                                            worker.free() - worker.claimedAccelerators(true)),
                            worker -> worker.claimedAccelerators(false));
            if (free == null) {
                free = mCells.moveUnusedCell(gang.mSpec, worker -> canUse(worker, gang));
            }
            if (free != null) {
                place(gang, free, true, now);
                continue;
            }
            List<WorkerState> claimed = chooseUnusedCells(gang);
            if (claimed == null) {
                failed.add(Requirements.of(gang));
            }
            if (claimed != null && !gang.mSpec.urgent()) {
                // Free room elsewhere is used first, as stopping a borrower loses work.
                List<WorkerState> spare = chooseUnclaimed(gang);
                if (spare != null) {
                    place(gang, spare, false, now);
                    continue;
                }
            }
            if (claimed != null) {
                mReclaimPlanner.claim(gang, claimed, true);
                mClaimingGangs.put(gang.id(), gang);
            }
        }
    }

    /** Returns workers whose cells cover the gang once borrowers have stopped, or null. */
    private List<WorkerState> chooseUnusedCells(Gang gang) {
        int count = gang.mSpec.shape().acceleratorsPerWorker();
        return choose(
                gang,
                worker -> mCells.unusedAccelerators(worker, gang.mSpec.team()),
                worker -> Math.max(0, count + worker.claimedAccelerators(true) - worker.free()));
    }

    /** Gives room above the guarantees to the team that has borrowed least for its weight. */
    private void placeBorrowers(long now) {
        mShapesWithoutRoom.clear();
        Map<TeamId, Queue<Gang>> waiting = new HashMap<>();
        for (TeamId team : mQueue.teams()) {
            waiting.put(
                    team,
                    new ArrayDeque<>(shortestFirst(mQueue.firstGangs(team, LOOKAHEAD_GANGS), now)));
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
            } else if (canPlace(gang, now) && !mClaimingGangs.containsKey(gang.id())) {
                placeBorrower(gang, now);
            }
        }
    }

    /** Puts short work first; waiting lowers the key, so that long work is not passed for ever. */
    private List<Gang> shortestFirst(List<Gang> gangs, long now) {
        List<Gang> ordered = new ArrayList<>(gangs);
        ordered.sort(
                Comparator.comparing((Gang gang) -> !gang.mSpec.urgent())
                        .thenComparingDouble(
                                gang ->
                                        mEstimates.estimateMs(gang.mSpec)
                                                / (1.0 + now - gang.mSubmittedAtMs)));
        return ordered;
    }

    private void placeBorrower(Gang gang, long now) {
        Shape shape = gang.mSpec.shape();
        for (Shape failed : mShapesWithoutRoom) {
            if (isAtLeastAsDemanding(shape, failed)) {
                return;
            }
        }
        List<WorkerState> workers = chooseUnclaimed(gang);
        if (workers == null) {
            mShapesWithoutRoom.add(shape);
        } else {
            place(gang, workers, false, now);
        }
    }

    /** Returns free workers, those without idle cells first, or null. */
    private List<WorkerState> chooseUnclaimed(Gang gang) {
        int count = gang.mSpec.shape().acceleratorsPerWorker();
        return chooseForBorrower(
                gang,
                worker -> worker.free() - worker.claimedAccelerators(false),
                worker -> worker.free() - mCells.idleAccelerators(worker) >= count ? 0 : 1);
    }

    /** Keeps workers free for the longest waiting gang of the teams that borrow least. */
    private void addBorrowerClaims(long now) {
        moveBorrowerClaims(now);
        Set<TeamId> holding = new HashSet<>();
        for (Gang gang : mClaimingGangs.values()) {
            if (!gang.mWithinGuarantee) {
                holding.add(gang.mSpec.team());
            }
        }
        List<Gang> late = new ArrayList<>();
        for (TeamId team : mQueue.teams()) {
            if (!holding.contains(team)) {
                mQueue.firstGangs(team, LOOKAHEAD_GANGS).stream()
                        .filter(gang -> now - gang.mQueuedAtMs >= mSettings.claimAfterMs())
                        .filter(
                                gang ->
                                        canPlace(gang, now)
                                                && !mClaimingGangs.containsKey(gang.id()))
                        .min(Comparator.comparingLong(gang -> gang.mQueuedAtMs))
                        .ifPresent(late::add);
            }
        }
        late.sort(
                Comparator.comparingDouble(
                                (Gang gang) -> mShares.weightedBorrowed(gang.mSpec.team()))
                        .thenComparingLong(gang -> gang.mQueuedAtMs));
        int holds = holding.size();
        for (Gang gang : late) {
            if (holds >= MAX_BORROWER_CLAIMS) {
                return;
            }
            List<WorkerState> workers = chooseSoonestReleased(gang, now);
            if (workers != null) {
                mReclaimPlanner.claim(gang, workers, false);
                mClaimingGangs.put(gang.id(), gang);
                holds++;
            }
        }
    }

    /** Moves holds to the workers that are now likely to be free first, the largest gang first. */
    private void moveBorrowerClaims(long now) {
        List<Gang> holds = claimingBorrowers();
        for (Gang gang : holds) {
            mReclaimPlanner.dropClaim(gang);
            List<WorkerState> workers = chooseSoonestReleased(gang, now);
            if (workers == null) {
                mClaimingGangs.remove(gang.id());
            } else {
                mReclaimPlanner.claim(gang, workers, false);
            }
        }
    }

    /** Returns the borrowers with workers kept free, those that others come after first. */
    private List<Gang> claimingBorrowers() {
        List<Gang> holds = new ArrayList<>(mClaimingGangs.values());
        holds.removeIf(gang -> gang.mWithinGuarantee);
        return mPriority.sorted(holds);
    }

    /** Returns the workers that are likely to have room for the gang first, or null. */
    private List<WorkerState> chooseSoonestReleased(Gang gang, long now) {
        int count = gang.mSpec.shape().acceleratorsPerWorker();
        return chooseForBorrower(
                gang,
                worker ->
                        worker.capacity()
                                - worker.nonReclaimable()
                                - worker.claimedWithPriorityOver(gang, mPriority),
                worker -> {
                    int missing =
                            count + worker.claimedWithPriorityOver(gang, mPriority) - worker.free();
                    if (missing <= 0) {
                        return 0;
                    }
                    long millis = mForecast.millisUntilReleased(worker, missing, now);
                    return (int) Math.min(AVOIDED_WORKER_COST - 1, 1 + millis / MS_PER_COST_UNIT);
                });
    }

    private boolean canPlace(Gang gang, long now) {
        return !gang.isPlaced() && now >= gang.mEligibleAtMs && mShares.isWithinLimit(gang.mSpec);
    }

    private void place(Gang gang, List<WorkerState> workers, boolean guaranteed, long now) {
        if (!mShares.isWithinLimit(gang.mSpec)) {
            return;
        }
        mQueue.remove(gang);
        mPlacedGangs.put(gang.id(), gang);
        gang.mWithinGuarantee = guaranteed;
        mShares.add(gang);
        mLifecycle.place(gang, workers, mFencingToken, now);
    }

    private List<WorkerState> choose(
            Gang gang, ToIntFunction<WorkerState> room, ToIntFunction<WorkerState> cost) {
        return choose(gang, room, cost, false);
    }

    /**
     * Chooses for a borrower; a large one takes the workers with the most room.
     *
     * <p>Its members need different workers, and on the workers with the least room they would use
     * up those that another large gang needs.
     */
    private List<WorkerState> chooseForBorrower(
            Gang gang, ToIntFunction<WorkerState> room, ToIntFunction<WorkerState> cost) {
        return choose(gang, room, cost, BorrowerPriority.isLarge(gang));
    }

    private List<WorkerState> choose(
            Gang gang,
            ToIntFunction<WorkerState> room,
            ToIntFunction<WorkerState> cost,
            boolean mostRoomFirst) {
        return PackingPlanner.choose(
                mTopology,
                gang.mSpec.shape(),
                worker -> canUse(worker, gang) ? room.applyAsInt(worker) : 0,
                worker ->
                        cost.applyAsInt(worker)
                                + (gang.mWorkersToAvoid.contains(worker.mId)
                                        ? AVOIDED_WORKER_COST
                                        : 0),
                mostRoomFirst);
    }

    /** Returns whether the worker may run the gang; a probe is one small gang, not urgent. */
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
