package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Manages the claims of waiting gangs and reclaims accelerators from borrowers for them.
 *
 * <p>A claim within a guarantee reclaims accelerators at once; the borrowers get the checkpoint
 * grace period. A claim of a borrower only keeps accelerators free until the gang has waited for
 * the maximum start wait; it then stops other borrowers, too.
 */
final class ReclaimPlanner {
    // Time reserved for the steps from STOP to START. Stop and its confirmation, reserve, confirm
    // and start take less than 1 s; the rest covers one order that has to be resent.
    private static final long START_ALLOWANCE_MS = 1_600;

    // The priority of two gangs of one size class depends on what else their teams run. Without a
    // minimum run time, three gangs could preempt each other in turn without end.
    private static final long MIN_RUN_MS = 120_000;

    private final PlacementSettings mSettings;
    private final BorrowerPriority mPriority;
    private final GangLifecycle mLifecycle;

    ReclaimPlanner(PlacementSettings settings, BorrowerPriority order, GangLifecycle lifecycle) {
        mSettings = settings;
        mPriority = order;
        mLifecycle = lifecycle;
    }

    /** Keeps accelerators of the workers free for the gang. */
    void claim(Gang gang, List<WorkerState> workers, boolean guaranteed) {
        gang.mWithinGuarantee = guaranteed;
        gang.mClaimedWorkers = workers;
        workers.forEach(worker -> worker.mClaims.add(gang));
    }

    void dropClaim(Gang gang) {
        gang.mClaimedWorkers.forEach(worker -> worker.mClaims.remove(gang));
        gang.mClaimedWorkers = List.of();
        if (!gang.isPlaced()) {
            gang.mWithinGuarantee = false;
        }
    }

    /** Returns whether every claimed worker can still fulfil the claim. */
    boolean isClaimValid(Gang gang) {
        int acceleratorsPerWorker = gang.mSpec.shape().acceleratorsPerWorker();
        for (WorkerState worker : gang.mClaimedWorkers) {
            boolean isCovered =
                    gang.mWithinGuarantee
                            ? worker.cellAccelerators(gang.mSpec.team())
                                    >= worker.usedWithinGuarantee(gang.mSpec.team())
                            : worker.capacity()
                                            - worker.nonReclaimable()
                                            - worker.claimedWithPriorityOver(gang, mPriority)
                                    >= acceleratorsPerWorker;
            if (!worker.acceptsNewGangs() || !isCovered) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the claimed accelerators are free on every worker. */
    boolean isClaimReady(Gang gang) {
        int acceleratorsPerWorker = gang.mSpec.shape().acceleratorsPerWorker();
        for (WorkerState worker : gang.mClaimedWorkers) {
            int claimedByOthers =
                    gang.mWithinGuarantee ? 0 : worker.claimedWithPriorityOver(gang, mPriority);
            if (worker.free() - claimedByOthers < acceleratorsPerWorker) {
                return false;
            }
        }
        return true;
    }

    /** Reclaims accelerators from as many borrowers as the claim needs. */
    void stopBorrowers(Gang gang, long nowMs) {
        if (!gang.mWithinGuarantee && nowMs - gang.mQueuedAtMs < mSettings.maxStartWaitMs()) {
            return;
        }
        long graceMs = mSettings.checkpointGraceMs();
        if (gang.mSpec.urgent() && gang.mWithinGuarantee) {
            long latestStopMs =
                    gang.mSubmittedAtMs + mSettings.maxUrgentStartMs() - START_ALLOWANCE_MS;
            graceMs = Math.max(0, Math.min(graceMs, latestStopMs - nowMs));
        }
        for (WorkerState worker : gang.mClaimedWorkers) {
            stopBorrowersOn(worker, gang, graceMs, nowMs);
        }
    }

    /**
     * Returns whether a gang may be stopped for a claim.
     *
     * <p>A borrower stops only gangs of lower priority in the order in which claims start. With a
     * different order, two gangs could stop each other in turn. If both gangs are large, or neither
     * is, the gang is stopped only after a minimum run time.
     */
    private boolean mayStop(Gang gang, Gang claimant, long nowMs) {
        if (gang.mWithinGuarantee || gang.mPhase == Gang.Phase.ADOPTING) {
            return false;
        }
        return claimant.mWithinGuarantee
                || (mPriority.outranks(claimant, gang)
                        && (BorrowerPriority.isLarge(claimant) != BorrowerPriority.isLarge(gang)
                                || hasRunLongEnough(gang, nowMs)));
    }

    private static boolean hasRunLongEnough(Gang gang, long nowMs) {
        return gang.mPhase == Gang.Phase.RUNNING && nowMs - gang.mPhaseEnteredAtMs >= MIN_RUN_MS;
    }

    private void stopBorrowersOn(WorkerState worker, Gang claimant, long graceMs, long nowMs) {
        int wanted =
                claimant.mWithinGuarantee
                        ? worker.claimedAccelerators(true)
                        : worker.claimedWithPriorityOver(claimant, mPriority)
                                + claimant.mSpec.shape().acceleratorsPerWorker();
        int missing = wanted - worker.free();
        List<GangMember> borrowers = new ArrayList<>();
        for (GangMember member : worker.mMembers) {
            Gang gang = member.mGang;
            if (gang.mPhase == Gang.Phase.STOPPING) {
                missing -= Long.bitCount(member.mAcceleratorMask);
            } else if (mayStop(gang, claimant, nowMs)) {
                borrowers.add(member);
            }
        }
        // Prefers gangs that are already being reclaimed, then gangs that are not urgent, then
        // those that entered their phase last and so lose the least work.
        borrowers.sort(
                Comparator.comparing((GangMember m) -> m.mGang.mStopDueAtMs == Long.MAX_VALUE)
                        .thenComparing(m -> m.mGang.mSpec.urgent())
                        .thenComparing(m -> -m.mGang.mPhaseEnteredAtMs));
        for (GangMember member : borrowers) {
            if (missing <= 0) {
                return;
            }
            missing -= Long.bitCount(member.mAcceleratorMask);
            mLifecycle.reclaim(member.mGang, graceMs, nowMs);
        }
    }
}
