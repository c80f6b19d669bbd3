package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.job.JobSpec;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;

/**
 * Weights, limits and guarantees of the teams in the table, and the accelerators that they use.
 *
 * <p>A team's weight is the largest weight of its rows for the region; a team without a row has
 * weight 1 and no limit.
 */
final class TeamShares {
    private record TeamKind(TeamId team, KindId kind) {}

    private final Map<TeamId, Integer> mWeights = new HashMap<>();
    private final Map<TeamKind, Long> mLimits = new HashMap<>();
    private final Map<TeamId, List<Shape>> mGuarantees = new TreeMap<>();
    private final Map<TeamKind, Long> mUsedAccelerators = new HashMap<>();
    private final Map<TeamId, Long> mBorrowedAccelerators = new HashMap<>();

    void setTable(OperatorTable table, RegionId region) {
        mWeights.clear();
        mLimits.clear();
        mGuarantees.clear();
        for (TableRow row : table.rows()) {
            if (row.work() != WorkClass.GANG || !region.equals(row.region())) {
                continue;
            }
            mWeights.merge(row.team(), Math.max(1, row.weight()), Math::max);
            row.limit()
                    .ifPresent(limit -> mLimits.put(new TeamKind(row.team(), row.kind()), limit));
            mGuarantees
                    .computeIfAbsent(row.team(), t -> new ArrayList<>())
                    .addAll(row.guarantees());
        }
    }

    Map<TeamId, List<Shape>> guarantees() {
        return mGuarantees;
    }

    /** Recomputes the accelerators in use from all placed gangs. */
    void recount(Collection<Gang> placed) {
        mUsedAccelerators.clear();
        mBorrowedAccelerators.clear();
        placed.forEach(this::add);
    }

    /** Adds the accelerators of one placed gang. */
    void add(Gang gang) {
        long accelerators = gang.mSpec.shape().accelerators();
        mUsedAccelerators.merge(key(gang.mSpec), accelerators, Long::sum);
        if (!gang.mWithinGuarantee) {
            mBorrowedAccelerators.merge(gang.mSpec.team(), accelerators, Long::sum);
        }
    }

    /** Returns whether the job fits within its limit beside the placed gangs. */
    boolean isWithinLimit(JobSpec spec) {
        return mUsedAccelerators.getOrDefault(key(spec), 0L) + spec.shape().accelerators()
                <= limit(spec);
    }

    /** Returns how many accelerators jobs of this team and kind may use at the same time. */
    long limit(JobSpec spec) {
        return mLimits.getOrDefault(key(spec), Long.MAX_VALUE);
    }

    /** Returns the accelerators borrowed by a team, divided by its weight. */
    double weightedBorrowed(TeamId team) {
        return mBorrowedAccelerators.getOrDefault(team, 0L)
                / (double) mWeights.getOrDefault(team, 1);
    }

    /** Returns {@link #weightedBorrowed} of the gang's team without the gang itself. */
    double weightedBorrowedWithout(Gang gang) {
        long ownAccelerators =
                gang.isPlaced() && !gang.mWithinGuarantee ? gang.mSpec.shape().accelerators() : 0;
        TeamId team = gang.mSpec.team();
        return (mBorrowedAccelerators.getOrDefault(team, 0L) - ownAccelerators)
                / (double) mWeights.getOrDefault(team, 1);
    }

    private static TeamKind key(JobSpec spec) {
        return new TeamKind(spec.team(), spec.kind());
    }
}
