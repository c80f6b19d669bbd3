package org.lycheeroad.coordination.admission;

import java.util.List;
import org.lycheeroad.state.work.ServiceLoad;
import org.lycheeroad.state.work.ServiceLoad.CommittedWork;

/**
 * What a daemon knows of the load of a service.
 *
 * @param load the newest summary of the owner
 * @param epoch the epoch of the owner
 * @param ageMs the age of the summary in milliseconds
 * @param acceptedSince the work that the daemon itself has accepted since then
 */
public record KnownLoad(
        ServiceLoad load, long epoch, long ageMs, List<CommittedWork> acceptedSince) {
    public KnownLoad {
        acceptedSince = List.copyOf(acceptedSince);
    }
}
