package org.lycheeroad.standins.workers;

/**
 * One run of a gang member on a worker.
 *
 * @param members the number of members of the gang
 * @param startMs wall-clock start time in milliseconds
 * @param endMs wall-clock end time in milliseconds, 0 while running
 * @param ended {@code DONE}, {@code FAILED}, {@code STOPPED}, {@code LAPSED}, {@code KILLED}, or
 *     empty while running
 */
public record TaskRun(
        String job,
        int member,
        int members,
        int attempt,
        String worker,
        int accelerators,
        long startMs,
        long endMs,
        String ended) {
    TaskRun endedAt(long endTimeMs, String outcome) {
        return new TaskRun(
                job, member, members, attempt, worker, accelerators, startMs, endTimeMs, outcome);
    }
}
