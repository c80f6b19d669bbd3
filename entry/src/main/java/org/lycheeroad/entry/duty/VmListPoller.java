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
 * Reads the VM list periodically and reports changes.
 *
 * <p>While the list cannot be read, the last one stays in use: the platform's list being down does
 * not mean that its VMs are.
 */
public final class VmListPoller implements MessageLoopHandler<List<VmInfo>> {
    private static final Logger LOG = LoggerFactory.getLogger(VmListPoller.class);
    private static final int RING = 16;

    private final VmListClient mClient;
    private final VmListener mListener;
    private final EventLog mEvents;
    private final long mPollMillis;
    private final MessageLoop<List<VmInfo>> mDuty;
    private List<TargetInfo> mTargets = List.of();
    private List<WorkerInfo> mWorkers = List.of();
    private List<ListedEntry> mEntries = List.of();
    private volatile boolean mOutstanding;
    private volatile boolean mSeen;
    private volatile boolean mFailing;
    private volatile boolean mStopped;

    /** Creates a poller; the timeout of a read is the time between reads, at least 1 s. */
    public VmListPoller(
            VmListClient client, long pollMillis, VmListener listener, EventLog events) {
        mClient = client;
        mPollMillis = pollMillis;
        mListener = listener;
        mEvents = events;
        mDuty = new MessageLoop<>("vm-list", RING, pollMillis, this);
    }

    /** Starts polling at once. */
    public void start() {
        mDuty.start();
        poll();
    }

    /** Stops polling. */
    public void stop() {
        mStopped = true;
        mDuty.stop();
    }

    /** Returns whether the list was read at least once. */
    public boolean hasSeenList() {
        return mSeen;
    }

    /** Returns the number of lists waiting. */
    public int depth() {
        return mDuty.queueLength();
    }

    @Override
    public void handle(List<VmInfo> vms) {
        List<TargetInfo> targets = new ArrayList<>();
        List<WorkerInfo> workers = new ArrayList<>();
        List<ListedEntry> entries = new ArrayList<>();
        for (VmInfo vm : vms) {
            try {
                read(vm, targets, workers, entries);
            } catch (IllegalArgumentException e) {
                LOG.warn("VM list has an entry that cannot be used: {}: {}", vm, e.getMessage());
            }
        }
        if (!targets.equals(mTargets) || !mSeen) {
            mTargets = List.copyOf(targets);
            mListener.onTargets(mTargets);
        }
        if (!workers.equals(mWorkers) || !mSeen) {
            mWorkers = List.copyOf(workers);
            mListener.onWorkers(mWorkers);
        }
        if (!entries.equals(mEntries)) {
            mEntries = List.copyOf(entries);
            mListener.onEntries(mEntries);
        }
        mSeen = true;
    }

    @Override
    public void tick() {
        poll();
    }

    private void poll() {
        if (mOutstanding) {
            return;
        }
        mOutstanding = true;
        mClient.fetchVms(Math.max(1_000, mPollMillis))
                .whenComplete(
                        (vms, e) -> {
                            mOutstanding = false;
                            boolean failed = e != null;
                            if (failed != mFailing) {
                                mFailing = failed;
                                mEvents.record(
                                        failed
                                                ? EventCode.VM_LIST_UNAVAILABLE
                                                : EventCode.VM_LIST_AVAILABLE,
                                        failed ? String.valueOf(e.getMessage()) : "");
                            }
                            if (!failed && !mDuty.offer(vms) && !mStopped) {
                                LOG.warn("VM list dropped because the previous ones wait");
                            }
                        });
    }

    private static void read(
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
