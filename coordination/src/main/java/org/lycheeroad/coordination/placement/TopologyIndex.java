package org.lycheeroad.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.shape.Adjacency;
import org.lycheeroad.state.shape.Shape;
import org.lycheeroad.state.topology.WorkerInfo;

/** Index of the region's workers by id and by rack. */
final class TopologyIndex {
    private final RegionId mRegion;
    private final Map<WorkerId, WorkerState> mWorkers = new HashMap<>();
    private List<WorkerState> mListedWorkers = List.of();
    private Collection<List<WorkerState>> mRacks = List.of();

    TopologyIndex(RegionId region) {
        mRegion = region;
    }

    /**
     * Replaces the listed workers. A worker that has left the list stays known while gangs have
     * members on it.
     */
    void update(List<WorkerInfo> workers) {
        Set<WorkerId> listed = new HashSet<>();
        for (WorkerInfo info : workers) {
            if (info.region().equals(mRegion) && listed.add(info.id())) {
                getOrCreate(info.id()).setInfo(info);
            }
        }
        mWorkers.values()
                .removeIf(
                        worker -> {
                            if (!listed.contains(worker.mId)) {
                                worker.setInfo(null);
                            }
                            return worker.mInfo == null && worker.mMembers.isEmpty();
                        });
        List<WorkerState> all = new ArrayList<>();
        Map<RackId, List<WorkerState>> racks = new TreeMap<>();
        mWorkers.values().stream()
                .filter(worker -> worker.mInfo != null)
                .sorted((a, b) -> a.mId.compareTo(b.mId))
                .forEach(
                        worker -> {
                            all.add(worker);
                            racks.computeIfAbsent(worker.mInfo.rack(), r -> new ArrayList<>())
                                    .add(worker);
                        });
        mListedWorkers = List.copyOf(all);
        mRacks = List.copyOf(racks.values());
    }

    /** Returns the worker; adds it as known but not listed if it is new. */
    WorkerState getOrCreate(WorkerId id) {
        return mWorkers.computeIfAbsent(id, WorkerState::new);
    }

    /** Returns the worker, or null if it is not known. */
    WorkerState find(WorkerId id) {
        return mWorkers.get(id);
    }

    Collection<WorkerState> knownWorkers() {
        return mWorkers.values();
    }

    List<WorkerState> listedWorkers() {
        return mListedWorkers;
    }

    Collection<List<WorkerState>> racks() {
        return mRacks;
    }

    /**
     * Returns whether the listed workers could hold the shape if all their accelerators were free.
     */
    boolean canHold(Shape shape) {
        if (shape.adjacency() != Adjacency.RACK) {
            return countWithCapacity(mListedWorkers, shape) >= shape.workers();
        }
        return mRacks.stream().anyMatch(rack -> countWithCapacity(rack, shape) >= shape.workers());
    }

    private static long countWithCapacity(List<WorkerState> workers, Shape shape) {
        return workers.stream()
                .filter(worker -> worker.capacity() >= shape.acceleratorsPerWorker())
                .count();
    }
}
