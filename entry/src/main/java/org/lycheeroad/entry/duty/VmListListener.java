package org.lycheeroad.entry.duty;

import java.util.List;
import org.lycheeroad.coordination.membership.ListedEntry;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.state.topology.WorkerInfo;

/** Receives changes of the VM list on the poller's thread; implementations must not block. */
public interface VmListListener {
    /** Called when the targets changed; includes draining ones, which are marked. */
    void onTargetsChanged(List<TargetInfo> targets);

    /** Called when the workers of any region changed; excludes draining ones. */
    void onWorkersChanged(List<WorkerInfo> workers);

    /** Called when the listed entries changed; includes draining ones, which are marked. */
    void onEntriesChanged(List<ListedEntry> entries);
}
