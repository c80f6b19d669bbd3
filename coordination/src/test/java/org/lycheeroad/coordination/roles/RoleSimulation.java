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

/**
 * Discrete simulation of entries that elect a role holder, with a store and a network into which
 * tests inject faults.
 *
 * <p>Fails with an {@link AssertionError} if two entries gain one token, or if an entry may act as
 * holder after a pause.
 */
final class RoleSimulation {
    private static final long STEP_MILLIS = 50;
    private static final long HEARTBEAT_INTERVAL_MILLIS = 500;
    private static final long PROBE_INTERVAL_MILLIS = 700;
    private static final long LEASE_MILLIS = 2_000;

    /** A task and when to run it; {@code order} preserves the order of tasks due at one time. */
    private record ScheduledTask(long dueAtMillis, long order, Runnable task) {}

    /** One entry with its election. It can be paused, and its connection to the store can fail. */
    final class Node {
        final EntryId mId;
        final RoleElection mElection;
        boolean mStoreUnreachable;

        /** Whether about half of the store's responses are lost after the call took effect. */
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
                require(!mayAct(), mId + " may act as holder after a pause");
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
                long sentAtMillis = mNowMillis;
                callStore(
                        this,
                        () -> {
                            Optional<StoredRole> holder = mStoredHolder;
                            long highestToken = mHighestStoredToken;
                            return () -> {
                                enqueue(this, new RoleEvent.StoreResponded(sentAtMillis));
                                enqueue(this, new RoleEvent.StoreRead(holder, highestToken));
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
                EntryId earlierHolder = mHolderByToken.putIfAbsent(a.token(), mId);
                require(
                        earlierHolder == null || earlierHolder.equals(mId),
                        "token " + a.token() + " is held by " + earlierHolder + " and " + mId);
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
            RoleEvent heartbeat =
                    new RoleEvent.HeartbeatReceived(
                            mId,
                            false,
                            mElection.heldToken(),
                            mElection.highestToken(),
                            mElection.vote());
            mNodes.values().stream().filter(n -> n != this).forEach(n -> send(this, n, heartbeat));
        }

        private void acquire(RoleAction.Acquire action) {
            long sentAtMillis = mNowMillis;
            callStore(
                    this,
                    () -> {
                        boolean replaceable =
                                mStoredHolder.isEmpty()
                                        ? action.replacedToken() == 0
                                        : mStoredHolder.get().token() == action.replacedToken();
                        boolean written = replaceable && mHighestStoredToken <= action.token();
                        if (written) {
                            mStoredHolder = Optional.of(new StoredRole(mId, 1, action.token()));
                            mHighestStoredToken = action.token();
                            mLeaseExpiresAtMillis = mNowMillis + LEASE_MILLIS;
                        }
                        Optional<StoredRole> holder = mStoredHolder;
                        long highestToken = mHighestStoredToken;
                        return () -> {
                            enqueue(this, new RoleEvent.StoreRead(holder, highestToken));
                            enqueue(
                                    this,
                                    written
                                            ? new RoleEvent.Acquired(action.token(), sentAtMillis)
                                            : new RoleEvent.AcquireFailed());
                        };
                    },
                    () -> enqueue(this, new RoleEvent.AcquireFailed()));
        }

        private void renewLease() {
            long sentAtMillis = mNowMillis;
            callStore(
                    this,
                    () -> {
                        boolean isHolder =
                                mStoredHolder.filter(h -> h.holder().equals(mId)).isPresent();
                        if (isHolder) {
                            mLeaseExpiresAtMillis = mNowMillis + LEASE_MILLIS;
                        }
                        return () ->
                                enqueue(
                                        this,
                                        isHolder
                                                ? new RoleEvent.LeaseRenewed(sentAtMillis)
                                                : new RoleEvent.LeaseLost());
                    },
                    () -> {});
        }
    }

    /** A call that takes effect in the store and returns the task that delivers its response. */
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

    /** The entry that gained each token. */
    private final Map<Long, EntryId> mHolderByToken = new HashMap<>();

    /** Links that drop messages, as pairs of sender and receiver. */
    private final Set<List<EntryId>> mBrokenLinks = new HashSet<>();

    /** Links that hold messages back, as pairs of sender and receiver, with these messages. */
    private final Map<List<EntryId>, List<Runnable>> mStalledLinks = new HashMap<>();

    private final int mMaxDelayMillis;
    private long mNextTaskOrder;
    private long mNowMillis = 1;
    private int mGainCount;
    private Optional<StoredRole> mStoredHolder = Optional.empty();
    private long mHighestStoredToken;
    private long mLeaseExpiresAtMillis;

    RoleSimulation(int nodes, RoleSettings settings, int maxDelayMillis, long seed) {
        mRandom = new Random(seed);
        mMaxDelayMillis = maxDelayMillis;
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

    /** Makes a link drop all messages in one direction. */
    void breakLink(Node from, Node to) {
        mBrokenLinks.add(List.of(from.mId, to.mId));
    }

    /** Holds messages back, as TCP does, and delivers them in order when the link is restored. */
    void stallLink(Node from, Node to) {
        mStalledLinks.putIfAbsent(List.of(from.mId, to.mId), new ArrayList<>());
    }

    /** Restores all links between entries, but no connections to the store. */
    void restoreLinks() {
        mBrokenLinks.clear();
        mStalledLinks.values().forEach(messages -> messages.forEach(task -> schedule(0, task)));
        mStalledLinks.clear();
    }

    /** Ends all faults. */
    void repairAll() {
        restoreLinks();
        for (Node node : mNodes.values()) {
            node.mStoreUnreachable = false;
            node.mStoreResponsesLost = false;
            node.mPausedUntilMillis = 0;
        }
    }

    void run(long millis) {
        long endMillis = mNowMillis + millis;
        while (mNowMillis < endMillis) {
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

    private static void require(boolean condition, String message) {
        if (!condition) {
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

    /** Sends the stored holder to the watches of all entries that can reach the store. */
    private void notifyWatchers() {
        Optional<StoredRole> holder = mStoredHolder;
        long highestToken = mHighestStoredToken;
        for (Node node : mNodes.values()) {
            if (!node.mStoreUnreachable) {
                schedule(
                        randomDelayMillis(),
                        () -> enqueue(node, new RoleEvent.StoreRead(holder, highestToken)));
            }
        }
    }

    /**
     * Performs a call after a random delay and delivers its response after another one.
     *
     * @param onFailure runs in place of the response if the store is unreachable or the response is
     *     lost
     */
    private void callStore(Node node, StoreCall call, Runnable onFailure) {
        if (node.mStoreUnreachable) {
            schedule(randomDelayMillis(), onFailure);
            return;
        }
        schedule(
                randomDelayMillis(),
                () -> {
                    Optional<StoredRole> previousHolder = mStoredHolder;
                    Runnable deliverResponse = call.execute();
                    if (!mStoredHolder.equals(previousHolder)) {
                        notifyWatchers();
                    }
                    boolean lost = node.mStoreResponsesLost && mRandom.nextBoolean();
                    schedule(randomDelayMillis(), lost ? onFailure : deliverResponse);
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

    private void schedule(long delayMillis, Runnable task) {
        mTasks.add(new ScheduledTask(mNowMillis + delayMillis, mNextTaskOrder++, task));
    }
}
