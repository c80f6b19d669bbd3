package org.lycheeroad.entry.duty;

import java.util.List;
import org.lycheeroad.coordination.membership.ListedEntry;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.state.topology.WorkerInfo;

/** Receives changes of the VM list on the poller's thread; it must not block. */
public interface VmListListener {
    /** The targets changed; leaving ones are marked. */
    void onTargetsChanged(List<TargetInfo> targets);

    /** The workers of any region changed; leaving ones are left out. */
    void onWorkersChanged(List<WorkerInfo> workers);

    /** The listed entries changed; leaving ones are marked. */
    void onEntriesChanged(List<ListedEntry> entries);
}
