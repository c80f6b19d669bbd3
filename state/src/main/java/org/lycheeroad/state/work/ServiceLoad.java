package org.lycheeroad.state.work;

import java.util.List;
import org.lycheeroad.state.id.TeamId;

/**
 * The load of a service.
 *
 * @param room the capacity of its workers, less what long-running tasks hold
 * @param freeShapes free resources of single workers; what fits a worker now fits one of these
 * @param work the committed work by priority and by the time until which it is useful
 * @param teams the teams that have jobs
 */
public record ServiceLoad(
        ServiceName service,
        Resources room,
        List<Resources> freeShapes,
        List<CommittedWork> work,
        List<TeamLoad> teams) {
    /**
     * Work of jobs that have been accepted and can still end usefully. For each resource, it is
     * given as the time in milliseconds for which it takes all of the room.
     *
     * @param priority the priority of the jobs; 0 is the highest
     * @param endsInMs a time until which the results are useful at most, in milliseconds
     */
    public record CommittedWork(
            int priority, long endsInMs, long cpuMs, long memoryMs, long acceleratorMs) {}

    /**
     * What a team uses.
     *
     * @param usedShare the share of the capacity that its runs hold, of the resource of which they
     *     hold most
     * @param urgentAccelerators the accelerators that its urgent jobs need
     */
    public record TeamLoad(TeamId team, double usedShare, int urgentAccelerators) {}

    public ServiceLoad {
        freeShapes = List.copyOf(freeShapes);
        work = List.copyOf(work);
        teams = List.copyOf(teams);
    }
}
