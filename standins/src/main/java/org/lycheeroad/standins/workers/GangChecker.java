package org.lycheeroad.standins.workers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * Checks the recorded task runs for gangs that ran partially, as defined in section 3.3 of the
 * design.
 *
 * <p>A gang ran partially if a member ran without another member for longer than the bound, if two
 * attempts overlapped, or if the job was reported done although not every member ran to completion.
 */
public final class GangChecker {
    /**
     * The initial run lease. If a gang does not start completely, its members stop within this
     * time.
     */
    private static final long START_LEASE_MS = 3_000;

    /** The renewed run lease. After the loss of a member, the others stop within this time. */
    private static final long RUN_LEASE_MS = 6_000;

    /**
     * Margin for clock differences and scheduling delays; the placement owner uses the same value.
     */
    private static final long CLOCK_MARGIN_MS = 400;

    private final Collection<TaskRun> mRuns;
    private final Set<String> mDoneJobs;

    /** Creates a checker for all runs of all workers and the jobs that were reported as done. */
    public GangChecker(Collection<TaskRun> runs, Set<String> doneJobs) {
        mRuns = List.copyOf(runs);
        mDoneJobs = Set.copyOf(doneJobs);
    }

    /**
     * Returns a description of each violation, or an empty list. Within one attempt, only the first
     * violation is reported.
     */
    public List<String> violations() {
        Map<String, Map<Integer, List<TaskRun>>> jobs = new TreeMap<>();
        for (TaskRun run : mRuns) {
            jobs.computeIfAbsent(run.job(), j -> new TreeMap<>())
                    .computeIfAbsent(run.attempt(), a -> new ArrayList<>())
                    .add(run);
        }
        List<String> violations = new ArrayList<>();
        jobs.forEach((job, attempts) -> checkJob(job, attempts, violations));
        for (String job : mDoneJobs) {
            if (!jobs.containsKey(job)) {
                violations.add(job + " is reported done but never ran");
            }
        }
        return violations;
    }

    private void checkJob(
            String job, Map<Integer, List<TaskRun>> attempts, List<String> violations) {
        long lastEndMs = Long.MIN_VALUE;
        List<TaskRun> lastAttempt = List.of();
        for (List<TaskRun> attempt : attempts.values()) {
            long startMs = attempt.stream().mapToLong(TaskRun::startMs).min().orElseThrow();
            if (startMs < lastEndMs) {
                violations.add(job + " runs two attempts at once");
            }
            lastEndMs = attempt.stream().mapToLong(GangChecker::endTimeMs).max().orElseThrow();
            lastAttempt = attempt;
            checkAttempt(job, attempt, violations);
        }
        long doneMembers =
                lastAttempt.stream()
                        .filter(r -> r.ended().equals("DONE"))
                        .map(TaskRun::member)
                        .distinct()
                        .count();
        if (mDoneJobs.contains(job) && doneMembers != lastAttempt.get(0).members()) {
            violations.add(job + " is reported done but only " + doneMembers + " members ended");
        }
    }

    private static void checkAttempt(String job, List<TaskRun> runs, List<String> violations) {
        List<TaskRun> runsByMember =
                runs.stream().sorted(Comparator.comparingInt(TaskRun::member)).toList();
        for (int member = 0; member < runs.get(0).members(); member++) {
            int current = member;
            List<TaskRun> memberRuns =
                    runsByMember.stream().filter(r -> r.member() == current).toList();
            if (memberRuns.size() > 1) {
                violations.add(job + " runs member " + member + " twice in one attempt");
                return;
            }
            long memberStartMs =
                    memberRuns.isEmpty() ? Long.MAX_VALUE : memberRuns.get(0).startMs();
            boolean memberLost = !memberRuns.isEmpty() && !memberRuns.get(0).ended().equals("DONE");
            long memberLossMs = memberLost ? endTimeMs(memberRuns.get(0)) : Long.MAX_VALUE;
            for (TaskRun other : runsByMember) {
                long withoutStartMs = Math.min(endTimeMs(other), memberStartMs) - other.startMs();
                long withoutEndMs = endTimeMs(other) - Math.max(memberLossMs, other.startMs());
                if (withoutStartMs > START_LEASE_MS + CLOCK_MARGIN_MS) {
                    violations.add(job + " ran " + withoutStartMs + " ms without member " + member);
                    return;
                }
                if (memberLossMs != Long.MAX_VALUE
                        && withoutEndMs > RUN_LEASE_MS + CLOCK_MARGIN_MS) {
                    violations.add(job + " ran " + withoutEndMs + " ms after member " + member);
                    return;
                }
            }
        }
    }

    private static long endTimeMs(TaskRun run) {
        return run.ended().isEmpty() ? Long.MAX_VALUE / 2 : run.endMs();
    }
}
