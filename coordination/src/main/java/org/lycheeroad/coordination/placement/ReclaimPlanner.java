package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Keeps workers free for a waiting gang and stops the borrowers that stand in its way.
 *
 * <p>A claim within a guarantee stops borrowers at once, after the checkpoint grace. A claim of a
 * borrower only keeps others away until its wait has reached the bound; it then stops them too.
 */
final class ReclaimPlanner {
    // Stop and its confirmation, reserve, confirm and start take below 1 s; the rest covers one
    // order that is sent twice.
    private static final long START_ALLOWANCE_MS = 1_600;

    // The order of two gangs of one size class depends on what else their teams run, so three gangs
    // could stop each other in turn without end if they were not given time to run.
    private static final long MIN_RUN_MS = 120_000;

    private final PlacementSettings mSettings;
    private final BorrowerPriority mPriority;
    private final GangLifecycle mLifecycle;

    ReclaimPlanner(PlacementSettings settings, BorrowerPriority order, GangLifecycle lifecycle) {
        mSettings = settings;
        mPriority = order;
        mLifecycle = lifecycle;
    }

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

    /** Returns whether every claimed worker can still serve the claim. */
    boolean isClaimValid(Gang gang) {
        int count = gang.mSpec.shape().acceleratorsPerWorker();
        for (WorkerState worker : gang.mClaimedWorkers) {
            boolean covered =
                    gang.mWithinGuarantee
                            ? worker.cellAccelerators(gang.mSpec.team())
                                    >= worker.usedWithinGuarantee(gang.mSpec.team())
                            : worker.capacity()
                                            - worker.nonReclaimable()
                                            - worker.claimedWithPriorityOver(gang, mPriority)
                                    >= count;
            if (!worker.acceptsNewGangs() || !covered) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the claimed accelerators are free. */
    boolean isClaimReady(Gang gang) {
        int count = gang.mSpec.shape().acceleratorsPerWorker();
        for (WorkerState worker : gang.mClaimedWorkers) {
            int others =
                    gang.mWithinGuarantee ? 0 : worker.claimedWithPriorityOver(gang, mPriority);
            if (worker.free() - others < count) {
                return false;
            }
        }
        return true;
    }

    /** Stops as many borrowers as the claim still needs. */
    void stopBorrowers(Gang gang, long now) {
        if (!gang.mWithinGuarantee && now - gang.mQueuedAtMs < mSettings.maxStartWaitMs()) {
            return;
        }
        long grace = mSettings.checkpointGraceMs();
        if (gang.mSpec.urgent() && gang.mWithinGuarantee) {
            long latestStop =
                    gang.mSubmittedAtMs + mSettings.maxUrgentStartMs() - START_ALLOWANCE_MS;
            grace = Math.max(0, Math.min(grace, latestStop - now));
        }
        for (WorkerState worker : gang.mClaimedWorkers) {
            stopBorrowersOn(worker, gang, grace, now);
        }
    }

    /**
     * Returns whether a gang may be stopped for a claim.
     *
     * <p>A borrower stops only those that come after it in the order in which claims start. A
     * different order would let two gangs stop each other in turn. Among large gangs, and among
     * others, only those that have run for a while are stopped.
     */
    private boolean mayStop(Gang gang, Gang claimant, long now) {
        if (gang.mWithinGuarantee || gang.mPhase == Gang.Phase.ADOPTING) {
            return false;
        }
        return claimant.mWithinGuarantee
                || (mPriority.outranks(claimant, gang)
                        && (BorrowerPriority.isLarge(claimant) != BorrowerPriority.isLarge(gang)
                                || hasRunLongEnough(gang, now)));
    }

    private static boolean hasRunLongEnough(Gang gang, long now) {
        return gang.mPhase == Gang.Phase.RUNNING && now - gang.mPhaseEnteredAtMs >= MIN_RUN_MS;
    }

    private void stopBorrowersOn(WorkerState worker, Gang claimant, long grace, long now) {
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
            } else if (mayStop(gang, claimant, now)) {
                borrowers.add(member);
            }
        }
        // Gangs already asked to stop come first, then the one that loses the least work.
        borrowers.sort(
                Comparator.comparing((GangMember m) -> m.mGang.mStopDueAtMs == Long.MAX_VALUE)
                        .thenComparing(m -> m.mGang.mSpec.urgent())
                        .thenComparing(m -> -m.mGang.mPhaseEnteredAtMs));
        for (GangMember member : borrowers) {
            if (missing <= 0) {
                return;
            }
            missing -= Long.bitCount(member.mAcceleratorMask);
            mLifecycle.reclaim(member.mGang, grace, now);
        }
    }
}
