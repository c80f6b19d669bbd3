package org.lycheeroad.entry.duty;

import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.coordination.membership.ListedEntry;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RackId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.WorkerId;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.state.topology.WorkerInfo;
import org.lycheeroad.transport.duty.Duty;
import org.lycheeroad.transport.duty.DutyHandler;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.vm.VmListClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the VM list periodically and reports changes.
 *
 * <p>While the list cannot be read, the last one stays in use: the platform's list being down does
 * not mean that its VMs are.
 */
public final class VmListPoller implements DutyHandler<List<VmInfo>> {
    private static final Logger LOG = LoggerFactory.getLogger(VmListPoller.class);
    private static final int QUEUE_CAPACITY = 16;

    private final VmListClient mClient;
    private final VmListListener mListener;
    private final EventLog mEvents;
    private final long mPollIntervalMillis;
    private final Duty<List<VmInfo>> mLoop;
    private List<TargetInfo> mTargets = List.of();
    private List<WorkerInfo> mWorkers = List.of();
    private List<ListedEntry> mEntries = List.of();
    private volatile boolean mReadInProgress;
    private volatile boolean mListHandled;
    private volatile boolean mLastReadFailed;
    private volatile boolean mStopped;

    /** Creates a poller; the timeout of a read is the time between reads, at least 1 s. */
    public VmListPoller(
            VmListClient client, long pollMillis, VmListListener listener, EventLog events) {
        mClient = client;
        mPollIntervalMillis = pollMillis;
        mListener = listener;
        mEvents = events;
        mLoop = new Duty<>("vm-list", QUEUE_CAPACITY, pollMillis, this);
    }

    /** Starts polling at once. */
    public void start() {
        mLoop.start();
        readList();
    }

    /** Stops polling. */
    public void stop() {
        mStopped = true;
        mLoop.stop();
    }

    /** Returns whether the list was read at least once. */
    public boolean hasHandledList() {
        return mListHandled;
    }

    /** Returns the number of lists waiting. */
    public int queueLength() {
        return mLoop.depth();
    }

    @Override
    public void handle(List<VmInfo> vms) {
        List<TargetInfo> targets = new ArrayList<>();
        List<WorkerInfo> workers = new ArrayList<>();
        List<ListedEntry> entries = new ArrayList<>();
        for (VmInfo vm : vms) {
            try {
                addVm(vm, targets, workers, entries);
            } catch (IllegalArgumentException e) {
                LOG.warn("VM list has an entry that cannot be used: {}: {}", vm, e.getMessage());
            }
        }
        if (!targets.equals(mTargets) || !mListHandled) {
            mTargets = List.copyOf(targets);
            mListener.onTargetsChanged(mTargets);
        }
        if (!workers.equals(mWorkers) || !mListHandled) {
            mWorkers = List.copyOf(workers);
            mListener.onWorkersChanged(mWorkers);
        }
        if (!entries.equals(mEntries)) {
            mEntries = List.copyOf(entries);
            mListener.onEntriesChanged(mEntries);
        }
        mListHandled = true;
    }

    @Override
    public void tick() {
        readList();
    }

    private void readList() {
        if (mReadInProgress) {
            return;
        }
        mReadInProgress = true;
        mClient.list(Math.max(1_000, mPollIntervalMillis))
                .whenComplete(
                        (vms, e) -> {
                            mReadInProgress = false;
                            boolean failed = e != null;
                            if (failed != mLastReadFailed) {
                                mLastReadFailed = failed;
                                mEvents.record(
                                        failed
                                                ? EventCode.VM_LIST_UNAVAILABLE
                                                : EventCode.VM_LIST_AVAILABLE,
                                        failed ? String.valueOf(e.getMessage()) : "");
                            }
                            if (!failed && !mLoop.offer(vms) && !mStopped) {
                                LOG.warn("VM list dropped because the previous ones wait");
                            }
                        });
    }

    private static void addVm(
            VmInfo vm,
            List<TargetInfo> targets,
            List<WorkerInfo> workers,
            List<ListedEntry> entries) {
        boolean leaving = !"live".equals(vm.state());
        HostPort address = new HostPort(vm.host(), vm.port());
        RegionId region = new RegionId(vm.region());
        FailureDomainId domain = new FailureDomainId(vm.failureDomain());
        if ("entry".equals(vm.role())) {
            entries.add(new ListedEntry(new EntryId(vm.id()), region, address, leaving));
        } else if ("target".equals(vm.role())) {
            targets.add(
                    new TargetInfo(
                            new TargetId(vm.id()),
                            region,
                            domain,
                            address,
                            vm.slots(),
                            vm.connections(),
                            leaving));
        } else if ("worker".equals(vm.role()) && !leaving) {
            workers.add(
                    new WorkerInfo(
                            new WorkerId(vm.id()),
                            region,
                            domain,
                            new RackId(vm.rack()),
                            vm.accelerators(),
                            address));
        }
    }
}
