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
import org.lycheeroad.transport.duty.MessageLoop;
import org.lycheeroad.transport.duty.MessageLoopHandler;
import org.lycheeroad.transport.events.EventLog;
import org.lycheeroad.transport.vm.VmListClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Polls the VM list and notifies a listener of changes.
 *
 * <p>While the list cannot be read, the last one remains in use, because an unavailable list does
 * not mean that the VMs are unavailable.
 */
public final class VmListPoller implements MessageLoopHandler<List<VmInfo>> {
    private static final Logger LOG = LoggerFactory.getLogger(VmListPoller.class);
    private static final int QUEUE_CAPACITY = 16;

    private final VmListClient mClient;
    private final VmListListener mListener;
    private final EventLog mEvents;
    private final long mPollIntervalMillis;
    private final MessageLoop<List<VmInfo>> mLoop;
    private List<TargetInfo> mTargets = List.of();
    private List<WorkerInfo> mWorkers = List.of();
    private List<ListedEntry> mEntries = List.of();
    private volatile boolean mReadInProgress;
    private volatile boolean mHasHandledList;
    private volatile boolean mLastReadFailed;
    private volatile boolean mStopped;

    /** Creates a poller; the timeout of a read is the poll interval, but at least 1 s. */
    public VmListPoller(
            VmListClient client,
            long pollIntervalMillis,
            VmListListener listener,
            EventLog events) {
        mClient = client;
        mPollIntervalMillis = pollIntervalMillis;
        mListener = listener;
        mEvents = events;
        mLoop = new MessageLoop<>("vm-list", QUEUE_CAPACITY, pollIntervalMillis, this);
    }

    /** Starts polling immediately. */
    public void start() {
        mLoop.start();
        readList();
    }

    /** Stops polling. */
    public void stop() {
        mStopped = true;
        mLoop.stop();
    }

    /** Returns whether at least one list was read and passed to the listener. */
    public boolean hasHandledList() {
        return mHasHandledList;
    }

    /** Returns the number of queued lists. */
    public int queueLength() {
        return mLoop.queueLength();
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
                LOG.warn("Ignored invalid VM {} in the VM list: {}", vm, e.getMessage());
            }
        }
        if (!targets.equals(mTargets) || !mHasHandledList) {
            mTargets = List.copyOf(targets);
            mListener.onTargetsChanged(mTargets);
        }
        if (!workers.equals(mWorkers) || !mHasHandledList) {
            mWorkers = List.copyOf(workers);
            mListener.onWorkersChanged(mWorkers);
        }
        if (!entries.equals(mEntries)) {
            mEntries = List.copyOf(entries);
            mListener.onEntriesChanged(mEntries);
        }
        mHasHandledList = true;
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
        mClient.fetchVms(Math.max(1_000, mPollIntervalMillis))
                .whenComplete(
                        (vms, failure) -> {
                            mReadInProgress = false;
                            boolean readFailed = failure != null;
                            if (readFailed != mLastReadFailed) {
                                mLastReadFailed = readFailed;
                                mEvents.record(
                                        readFailed
                                                ? EventCode.VM_LIST_UNAVAILABLE
                                                : EventCode.VM_LIST_AVAILABLE,
                                        readFailed ? String.valueOf(failure.getMessage()) : "");
                            }
                            if (!readFailed && !mLoop.offer(vms) && !mStopped) {
                                LOG.warn("Dropped a VM list because the queue is full");
                            }
                        });
    }

    private static void addVm(
            VmInfo vm,
            List<TargetInfo> targets,
            List<WorkerInfo> workers,
            List<ListedEntry> entries) {
        boolean draining = !"live".equals(vm.state());
        HostPort address = new HostPort(vm.host(), vm.port());
        RegionId region = new RegionId(vm.region());
        FailureDomainId failureDomain = new FailureDomainId(vm.failureDomain());
        if ("entry".equals(vm.role())) {
            entries.add(new ListedEntry(new EntryId(vm.id()), region, address, draining));
        } else if ("target".equals(vm.role())) {
            targets.add(
                    new TargetInfo(
                            new TargetId(vm.id()),
                            region,
                            failureDomain,
                            address,
                            vm.slots(),
                            vm.connections(),
                            draining));
        } else if ("worker".equals(vm.role()) && !draining) {
            workers.add(
                    new WorkerInfo(
                            new WorkerId(vm.id()),
                            region,
                            failureDomain,
                            new RackId(vm.rack()),
                            vm.accelerators(),
                            address));
        }
    }
}
