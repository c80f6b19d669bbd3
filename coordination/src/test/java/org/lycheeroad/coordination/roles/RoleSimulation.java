package org.lycheeroad.coordination.roles;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.lycheeroad.state.id.EntryId;

/** Entries, a store and a network in simulated time, with faults that a test injects. */
final class RoleSimulation {
    private static final long STEP_MILLIS = 50;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long PROBE_INTERVAL_MILLIS = 700;
    private static final long LEASE_MILLIS = 2_000;

    private record ScheduledTask(long dueAtMillis, long order, Runnable task) {}

    /** One entry with its election; its store and its pauses can fail. */
    final class Node {
        final EntryId mId;
        final RoleElection mElection;
        boolean mStoreUnreachable;
        boolean mStoreResponsesLost;
        long mPausedUntilMillis;
        private long mLastStepAtMillis;
        private long mNextHeartbeatAtMillis;
        private long mNextProbeAtMillis;
        private final List<RoleEvent> mInbox = new ArrayList<>();

        Node(String id, RoleSettings settings) {
            mId = new EntryId(id);
            mElection = new RoleElection(mId, settings, mNowMillis);
        }

        boolean mayAct() {
            return mElection.heldToken() != 0
                    && mElection.mayAct(mElection.heldToken(), mNowMillis);
        }

        private void step() {
            if (mNowMillis < mPausedUntilMillis) {
                return;
            }
            if (mNowMillis - mLastStepAtMillis > 1_000 && mLastStepAtMillis > 0) {
                require(!mayAct(), mId + " acts after a pause");
            }
            mLastStepAtMillis = mNowMillis;
            List<RoleEvent> inbox = List.copyOf(mInbox);
            mInbox.clear();
            inbox.forEach(this::handle);
            handle(new RoleEvent.MembersChanged(Set.copyOf(mNodes.keySet()), 0, candidates(this)));
            handle(new RoleEvent.Tick());
            if (mNowMillis >= mNextHeartbeatAtMillis) {
                sendHeartbeat();
            }
            if (mNowMillis >= mNextProbeAtMillis) {
                mNextProbeAtMillis = mNowMillis + PROBE_INTERVAL_MILLIS;
                long sentAt = mNowMillis;
                callStore(
                        this,
                        () -> {
                            Optional<StoredRole> holder = mStoredHolder;
                            long counter = mHighestStoredToken;
                            return () -> {
                                enqueue(this, new RoleEvent.StoreResponded(sentAt));
                                enqueue(this, new RoleEvent.StoreRead(holder, counter));
                            };
                        },
                        () -> {});
            }
        }

        private void handle(RoleEvent event) {
            for (RoleAction action : mElection.handle(event, mNowMillis)) {
                perform(action);
            }
        }

        private void perform(RoleAction action) {
            if (action instanceof RoleAction.Gained a) {
                EntryId before = mHolderByToken.putIfAbsent(a.token(), mId);
                require(
                        before == null || before.equals(mId),
                        "token " + a.token() + " is held by " + before + " and " + mId);
                mGainCount++;
            } else if (action instanceof RoleAction.Acquire a) {
                acquire(a);
            } else if (action instanceof RoleAction.RenewLease) {
                renewLease();
            } else if (action instanceof RoleAction.Announce) {
                mNextHeartbeatAtMillis = 0;
            } else if (action instanceof RoleAction.OfferHandover a) {
                send(this, mNodes.get(a.to()), new RoleEvent.HandoverOffered(a.token()));
            } else if (action instanceof RoleAction.Release a) {
                callStore(this, () -> releaseRole(mId, a.token()), () -> {});
            }
        }

        private void sendHeartbeat() {
            mNextHeartbeatAtMillis = mNowMillis + HEARTBEAT_INTERVAL_MILLIS;
            RoleEvent heard =
                    new RoleEvent.HeartbeatReceived(
                            mId,
                            false,
                            mElection.heldToken(),
                            mElection.highestToken(),
                            mElection.vote());
            mNodes.values().stream().filter(n -> n != this).forEach(n -> send(this, n, heard));
        }

        private void acquire(RoleAction.Acquire a) {
            long sentAt = mNowMillis;
            callStore(
                    this,
                    () -> {
                        boolean free =
                                mStoredHolder.isEmpty()
                                        ? a.replacedToken() == 0
                                        : mStoredHolder.get().token() == a.replacedToken();
                        boolean written = free && mHighestStoredToken <= a.token();
                        if (written) {
                            mStoredHolder = Optional.of(new StoredRole(mId, 1, a.token()));
                            mHighestStoredToken = a.token();
                            mLeaseExpiresAtMillis = mNowMillis + LEASE_MILLIS;
                        }
                        Optional<StoredRole> holder = mStoredHolder;
                        long counter = mHighestStoredToken;
                        return () -> {
                            enqueue(this, new RoleEvent.StoreRead(holder, counter));
                            enqueue(
                                    this,
                                    written
                                            ? new RoleEvent.Acquired(a.token(), sentAt)
                                            : new RoleEvent.AcquireFailed());
                        };
                    },
                    () -> enqueue(this, new RoleEvent.AcquireFailed()));
        }

        private void renewLease() {
            long sentAt = mNowMillis;
            callStore(
                    this,
                    () -> {
                        boolean mine =
                                mStoredHolder.filter(h -> h.holder().equals(mId)).isPresent();
                        if (mine) {
                            mLeaseExpiresAtMillis = mNowMillis + LEASE_MILLIS;
                        }
                        return () ->
                                enqueue(
                                        this,
                                        mine
                                                ? new RoleEvent.LeaseRenewed(sentAt)
                                                : new RoleEvent.LeaseLost());
                    },
                    () -> {});
        }
    }

    /** A store call that returns how its answer is delivered. */
    private interface StoreCall {
        Runnable execute();
    }

    private final Random mRandom;
    private final Map<EntryId, Node> mNodes = new HashMap<>();
    private final PriorityQueue<ScheduledTask> mTasks =
            new PriorityQueue<>(
                    (a, b) ->
                            a.dueAtMillis() != b.dueAtMillis()
                                    ? Long.compare(a.dueAtMillis(), b.dueAtMillis())
                                    : Long.compare(a.order(), b.order()));
    private final Map<Long, EntryId> mHolderByToken = new HashMap<>();
    private final Set<List<EntryId>> mBrokenLinks = new HashSet<>();
    private final Map<List<EntryId>, List<Runnable>> mStalledLinks = new HashMap<>();
    private final int mMaxDelayMillis;
    private long mNextTaskOrder;
    private long mNowMillis = 1;
    private int mGainCount;
    private Optional<StoredRole> mStoredHolder = Optional.empty();
    private long mHighestStoredToken;
    private long mLeaseExpiresAtMillis;

    RoleSimulation(int nodes, RoleSettings settings, int maxDelay, long seed) {
        mRandom = new Random(seed);
        mMaxDelayMillis = maxDelay;
        for (int i = 0; i < nodes; i++) {
            Node node = new Node("e" + i, settings);
            mNodes.put(node.mId, node);
        }
    }

    Node node(int index) {
        return mNodes.get(new EntryId("e" + index % mNodes.size()));
    }

    List<Node> nodes() {
        return List.copyOf(mNodes.values());
    }

    long nowMillis() {
        return mNowMillis;
    }

    int gainCount() {
        return mGainCount;
    }

    long highestStoredToken() {
        return mHighestStoredToken;
    }

    void breakLink(Node from, Node to) {
        mBrokenLinks.add(List.of(from.mId, to.mId));
    }

    /** Keeps messages back and delivers them in order when the link is joined, as TCP does. */
    void stallLink(Node from, Node to) {
        mStalledLinks.putIfAbsent(List.of(from.mId, to.mId), new ArrayList<>());
    }

    /** Ends all cuts between entries, but not those from the store. */
    void restoreLinks() {
        mBrokenLinks.clear();
        mStalledLinks.values().forEach(held -> held.forEach(run -> schedule(0, run)));
        mStalledLinks.clear();
    }

    void repairAll() {
        restoreLinks();
        for (Node node : mNodes.values()) {
            node.mStoreUnreachable = false;
            node.mStoreResponsesLost = false;
            node.mPausedUntilMillis = 0;
        }
    }

    void run(long millis) {
        long end = mNowMillis + millis;
        while (mNowMillis < end) {
            mNowMillis += STEP_MILLIS;
            if (mStoredHolder.isPresent() && mNowMillis >= mLeaseExpiresAtMillis) {
                mStoredHolder = Optional.empty();
                notifyWatchers();
            }
            while (!mTasks.isEmpty() && mTasks.peek().dueAtMillis() <= mNowMillis) {
                mTasks.poll().task().run();
            }
            for (Node node : List.copyOf(mNodes.values())) {
                node.step();
            }
        }
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }

    private List<EntryId> candidates(Node node) {
        List<EntryId> candidates = new ArrayList<>(mNodes.keySet());
        candidates.removeIf(
                c -> !c.equals(node.mId) && mBrokenLinks.contains(List.of(c, node.mId)));
        candidates.sort(null);
        return candidates;
    }

    private Runnable releaseRole(EntryId id, long token) {
        if (mStoredHolder.filter(h -> h.holder().equals(id) && h.token() == token).isPresent()) {
            mStoredHolder = Optional.empty();
            notifyWatchers();
        }
        return () -> {};
    }

    /** Delivers the watch; a client that is cut off misses it. */
    private void notifyWatchers() {
        Optional<StoredRole> holder = mStoredHolder;
        long counter = mHighestStoredToken;
        for (Node node : mNodes.values()) {
            if (!node.mStoreUnreachable) {
                schedule(
                        randomDelayMillis(),
                        () -> enqueue(node, new RoleEvent.StoreRead(holder, counter)));
            }
        }
    }

    private void callStore(Node node, StoreCall call, Runnable failed) {
        if (node.mStoreUnreachable) {
            schedule(randomDelayMillis(), failed);
            return;
        }
        schedule(
                randomDelayMillis(),
                () -> {
                    Optional<StoredRole> before = mStoredHolder;
                    Runnable answer = call.execute();
                    if (!mStoredHolder.equals(before)) {
                        notifyWatchers();
                    }
                    boolean lost = node.mStoreResponsesLost && mRandom.nextBoolean();
                    schedule(randomDelayMillis(), lost ? failed : answer);
                });
    }

    private void send(Node from, Node to, RoleEvent event) {
        List<EntryId> link = List.of(from.mId, to.mId);
        if (mStalledLinks.containsKey(link)) {
            mStalledLinks.get(link).add(() -> enqueue(to, event));
        } else if (!mBrokenLinks.contains(link)) {
            schedule(randomDelayMillis(), () -> enqueue(to, event));
        }
    }

    private void enqueue(Node node, RoleEvent event) {
        node.mInbox.add(event);
    }

    private long randomDelayMillis() {
        return mRandom.nextInt(mMaxDelayMillis + 1);
    }

    private void schedule(long delay, Runnable run) {
        mTasks.add(new ScheduledTask(mNowMillis + delay, mNextTaskOrder++, run));
    }
}
