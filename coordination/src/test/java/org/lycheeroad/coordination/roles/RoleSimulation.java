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
    private static final long STEP = 50;
    private static final long HEARTBEAT = 500;
    private static final long PROBE = 700;
    private static final long LEASE = 2_000;

    private record Timed(long at, long order, Runnable run) {}

    /** One entry with its election; its store and its pauses can fail. */
    final class Node {
        final EntryId mId;
        final RoleElection mElection;
        boolean mStoreCut;
        boolean mLosesAnswers;
        long mPausedUntil;
        private long mHandledAt;
        private long mNextHeartbeat;
        private long mNextProbe;
        private final List<RoleEvent> mInbox = new ArrayList<>();

        Node(String id, RoleSettings settings) {
            mId = new EntryId(id);
            mElection = new RoleElection(mId, settings, mNow);
        }

        boolean acts() {
            return mElection.heldToken() != 0 && mElection.mayAct(mElection.heldToken(), mNow);
        }

        private void step() {
            if (mNow < mPausedUntil) {
                return;
            }
            if (mNow - mHandledAt > 1_000 && mHandledAt > 0) {
                require(!acts(), mId + " acts after a pause");
            }
            mHandledAt = mNow;
            List<RoleEvent> inbox = List.copyOf(mInbox);
            mInbox.clear();
            inbox.forEach(this::handle);
            handle(new RoleEvent.MembersChanged(Set.copyOf(mNodes.keySet()), 0, candidates(this)));
            handle(new RoleEvent.Tick());
            if (mNow >= mNextHeartbeat) {
                heartbeat();
            }
            if (mNow >= mNextProbe) {
                mNextProbe = mNow + PROBE;
                long sentAt = mNow;
                call(
                        this,
                        () -> {
                            Optional<StoredRole> holder = mHolder;
                            long counter = mCounter;
                            return () -> {
                                later(this, new RoleEvent.StoreResponded(sentAt));
                                later(this, new RoleEvent.StoreRead(holder, counter));
                            };
                        },
                        () -> {});
            }
        }

        private void handle(RoleEvent event) {
            for (RoleAction action : mElection.handle(event, mNow)) {
                perform(action);
            }
        }

        private void perform(RoleAction action) {
            if (action instanceof RoleAction.Gained a) {
                EntryId before = mGained.putIfAbsent(a.token(), mId);
                require(
                        before == null || before.equals(mId),
                        "token " + a.token() + " is held by " + before + " and " + mId);
                mGains++;
            } else if (action instanceof RoleAction.Acquire a) {
                acquire(a);
            } else if (action instanceof RoleAction.RenewLease) {
                renew();
            } else if (action instanceof RoleAction.Announce) {
                mNextHeartbeat = 0;
            } else if (action instanceof RoleAction.OfferHandover a) {
                send(this, mNodes.get(a.to()), new RoleEvent.HandoverOffered(a.token()));
            } else if (action instanceof RoleAction.Release a) {
                call(this, () -> release(mId, a.token()), () -> {});
            }
        }

        private void heartbeat() {
            mNextHeartbeat = mNow + HEARTBEAT;
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
            long sentAt = mNow;
            call(
                    this,
                    () -> {
                        boolean free =
                                mHolder.isEmpty()
                                        ? a.replacedToken() == 0
                                        : mHolder.get().token() == a.replacedToken();
                        boolean written = free && mCounter <= a.token();
                        if (written) {
                            mHolder = Optional.of(new StoredRole(mId, 1, a.token()));
                            mCounter = a.token();
                            mLeaseEnd = mNow + LEASE;
                        }
                        Optional<StoredRole> holder = mHolder;
                        long counter = mCounter;
                        return () -> {
                            later(this, new RoleEvent.StoreRead(holder, counter));
                            later(
                                    this,
                                    written
                                            ? new RoleEvent.Acquired(a.token(), sentAt)
                                            : new RoleEvent.AcquireFailed());
                        };
                    },
                    () -> later(this, new RoleEvent.AcquireFailed()));
        }

        private void renew() {
            long sentAt = mNow;
            call(
                    this,
                    () -> {
                        boolean mine = mHolder.filter(h -> h.holder().equals(mId)).isPresent();
                        if (mine) {
                            mLeaseEnd = mNow + LEASE;
                        }
                        return () ->
                                later(
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
        Runnable run();
    }

    private final Random mRandom;
    private final Map<EntryId, Node> mNodes = new HashMap<>();
    private final PriorityQueue<Timed> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private final Map<Long, EntryId> mGained = new HashMap<>();
    private final Set<List<EntryId>> mCuts = new HashSet<>();
    private final Map<List<EntryId>, List<Runnable>> mHeld = new HashMap<>();
    private final int mMaxDelay;
    private long mOrder;
    private long mNow = 1;
    private int mGains;
    private Optional<StoredRole> mHolder = Optional.empty();
    private long mCounter;
    private long mLeaseEnd;

    RoleSimulation(int nodes, RoleSettings settings, int maxDelay, long seed) {
        mRandom = new Random(seed);
        mMaxDelay = maxDelay;
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

    long now() {
        return mNow;
    }

    int gains() {
        return mGains;
    }

    long counter() {
        return mCounter;
    }

    void cut(Node from, Node to) {
        mCuts.add(List.of(from.mId, to.mId));
    }

    /** Keeps messages back and delivers them in order when the link is joined, as TCP does. */
    void hold(Node from, Node to) {
        mHeld.putIfAbsent(List.of(from.mId, to.mId), new ArrayList<>());
    }

    /** Ends all cuts between entries, but not those from the store. */
    void joinEntries() {
        mCuts.clear();
        mHeld.values().forEach(held -> held.forEach(run -> at(0, run)));
        mHeld.clear();
    }

    void heal() {
        joinEntries();
        for (Node node : mNodes.values()) {
            node.mStoreCut = false;
            node.mLosesAnswers = false;
            node.mPausedUntil = 0;
        }
    }

    void run(long millis) {
        long end = mNow + millis;
        while (mNow < end) {
            mNow += STEP;
            if (mHolder.isPresent() && mNow >= mLeaseEnd) {
                mHolder = Optional.empty();
                storeChanged();
            }
            while (!mEvents.isEmpty() && mEvents.peek().at() <= mNow) {
                mEvents.poll().run().run();
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
        candidates.removeIf(c -> !c.equals(node.mId) && mCuts.contains(List.of(c, node.mId)));
        candidates.sort(null);
        return candidates;
    }

    private Runnable release(EntryId id, long token) {
        if (mHolder.filter(h -> h.holder().equals(id) && h.token() == token).isPresent()) {
            mHolder = Optional.empty();
            storeChanged();
        }
        return () -> {};
    }

    /** Delivers the watch; a client that is cut off misses it. */
    private void storeChanged() {
        Optional<StoredRole> holder = mHolder;
        long counter = mCounter;
        for (Node node : mNodes.values()) {
            if (!node.mStoreCut) {
                at(delay(), () -> later(node, new RoleEvent.StoreRead(holder, counter)));
            }
        }
    }

    private void call(Node node, StoreCall call, Runnable failed) {
        if (node.mStoreCut) {
            at(delay(), failed);
            return;
        }
        at(
                delay(),
                () -> {
                    Optional<StoredRole> before = mHolder;
                    Runnable answer = call.run();
                    if (!mHolder.equals(before)) {
                        storeChanged();
                    }
                    boolean lost = node.mLosesAnswers && mRandom.nextBoolean();
                    at(delay(), lost ? failed : answer);
                });
    }

    private void send(Node from, Node to, RoleEvent event) {
        List<EntryId> link = List.of(from.mId, to.mId);
        if (mHeld.containsKey(link)) {
            mHeld.get(link).add(() -> later(to, event));
        } else if (!mCuts.contains(link)) {
            at(delay(), () -> later(to, event));
        }
    }

    private void later(Node node, RoleEvent event) {
        node.mInbox.add(event);
    }

    private long delay() {
        return mRandom.nextInt(mMaxDelay + 1);
    }

    private void at(long delay, Runnable run) {
        mEvents.add(new Timed(mNow + delay, mOrder++, run));
    }
}
