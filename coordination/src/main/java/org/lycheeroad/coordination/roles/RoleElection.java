package org.lycheeroad.coordination.roles;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lycheeroad.state.id.EntryId;

/**
 * State machine that decides whether this entry holds one role.
 *
 * <p>While the store is reachable, the holder is the entry that the role's key in the store names.
 * While it is not, {@link QuorumElection} elects the holder by votes that entries exchange with
 * their heartbeats. {@link RoleTokens} gives the two methods disjoint fencing tokens, so no two
 * holders ever have the same token.
 *
 * <p>Performs no I/O: {@link #handle} takes events and returns the actions for the caller to
 * perform. Times are in milliseconds of a monotonic clock.
 */
public final class RoleElection {
    /**
     * How long a vacant role is left to a holder whose heartbeats still arrive, so that a holder
     * elected while the store was unreachable can write its key first.
     */
    static final long REGISTRATION_GRACE_MILLIS = 1_500;

    /**
     * Delay per rank before a candidate writes to a vacant role; spreads the writes of several
     * candidates to limit the load on the store.
     */
    static final long ACQUIRE_DELAY_PER_RANK_MILLIS = 50;

    /**
     * Time after a pause before a holder without a lease resumes. It is two heartbeat intervals, so
     * that heartbeats that arrived during the pause are handled first.
     */
    static final long RESUME_DELAY_MILLIS = 1_000;

    private static final long ACQUIRE_RETRY_MILLIS = 200;
    private static final long ACQUIRE_TIMEOUT_MILLIS = 3_000;
    private static final long HANDOVER_RETRY_MILLIS = 300;

    private enum State {
        NOT_HOLDING,
        /** A write to the store that would make this entry the holder is outstanding. */
        ACQUIRING,
        HOLDING,
        /** Still the holder, but must not act after a pause until {@link #canResume} holds. */
        SUSPENDED
    }

    private final EntryId mSelf;
    private final RoleSettings mSettings;
    private final RolePeers mPeers;
    private final HighestToken mHighestToken;
    private final StoreView mStoreView;
    private final QuorumElection mQuorumElection;
    private final RoleLease mLease;

    private State mState = State.NOT_HOLDING;
    private boolean mDraining;

    /** Token of the latest term as holder. */
    private long mToken;

    private long mNextRenewalAtMillis;
    private long mNextAcquireAtMillis;

    /** When an outstanding {@link RoleAction.Acquire} times out, or 0 if there is none. */
    private long mAcquireDeadlineMillis;

    private long mAcquiringToken;
    private long mNextHandoverOfferAtMillis;

    /** Since when events have been handled without a pause. */
    private long mUninterruptedSinceMillis;

    private long mLastEventAtMillis;

    /** Creates the election of one role when the entry starts. */
    public RoleElection(EntryId self, RoleSettings settings, long nowMillis) {
        mSelf = self;
        mSettings = settings;
        mPeers = new RolePeers(self, settings.peerTimeoutMillis());
        mHighestToken = new HighestToken(nowMillis);
        mStoreView = new StoreView(settings.storeTimeoutMillis());
        mQuorumElection = new QuorumElection(self, settings, nowMillis, mPeers, mHighestToken);
        mLease = new RoleLease(settings.leaseMillis());
        mLastEventAtMillis = nowMillis;
        mUninterruptedSinceMillis = nowMillis;
    }

    /** Handles one event and returns the resulting actions in the order to perform them. */
    public List<RoleAction> handle(RoleEvent event, long nowMillis) {
        List<RoleAction> actions = new ArrayList<>();
        detectPause(nowMillis, actions);
        mLastEventAtMillis = nowMillis;
        if (event instanceof RoleEvent.StoreRead e) {
            onStoreRead(e, nowMillis);
        } else if (event instanceof RoleEvent.StoreResponded e) {
            mStoreView.onResponse(e.sentAtMillis());
        } else if (event instanceof RoleEvent.Acquired e) {
            onAcquired(e, nowMillis, actions);
        } else if (event instanceof RoleEvent.AcquireFailed) {
            onAcquireFailed(nowMillis);
        } else if (event instanceof RoleEvent.LeaseRenewed e) {
            onLeaseRenewed(e, nowMillis);
        } else if (event instanceof RoleEvent.LeaseLost) {
            mLease.end();
        } else if (event instanceof RoleEvent.HeartbeatReceived e) {
            onHeartbeatReceived(e, nowMillis);
        } else if (event instanceof RoleEvent.PeerReplaced e) {
            mPeers.onReplaced(e.peer());
        } else if (event instanceof RoleEvent.MembersChanged e) {
            mPeers.onMembersChanged(e);
        } else if (event instanceof RoleEvent.HandoverOffered e) {
            onHandoverOffered(e, nowMillis, actions);
        } else if (event instanceof RoleEvent.TokenRefused e) {
            mHighestToken.observe(e.higherToken(), Optional.empty(), nowMillis);
        } else if (event instanceof RoleEvent.DrainStarted) {
            onDrainStarted(actions);
        }
        decide(nowMillis, actions);
        return actions;
    }

    /**
     * Returns whether this entry may act as holder with the token.
     *
     * <p>Returns false if the last event was handled too long ago, even before the next event
     * reveals the pause.
     */
    public boolean mayAct(long token, long nowMillis) {
        return mState == State.HOLDING
                && mToken == token
                && nowMillis - mLastEventAtMillis <= mSettings.maxPauseMillis();
    }

    /** Returns the fencing token to act with and to report in heartbeats, or 0 if there is none. */
    public long heldToken() {
        return mState == State.HOLDING ? mToken : 0;
    }

    /** Returns the highest token with which any entry is known to have held the role. */
    public long highestToken() {
        return mHighestToken.token();
    }

    /** Returns the current vote of this entry, to be sent with its heartbeats. */
    public Optional<RoleVote> vote() {
        return mQuorumElection.vote();
    }

    /** Returns the last known holder of the role. */
    public Optional<EntryId> holder() {
        return mHighestToken.holder();
    }

    /** Returns whether the store is reachable and names a holder, so that no election is open. */
    public boolean isSettled(long nowMillis) {
        return mStoreView.holder().isPresent() && isStoreReachable(nowMillis);
    }

    /** Returns whether the store has responded within the store timeout. */
    public boolean isStoreReachable(long nowMillis) {
        return mStoreView.isReachable(nowMillis);
    }

    private void detectPause(long nowMillis, List<RoleAction> actions) {
        if (nowMillis - mLastEventAtMillis > mSettings.maxPauseMillis()) {
            if (mState == State.HOLDING) {
                mState = State.SUSPENDED;
                actions.add(new RoleAction.Lost(mToken, "paused"));
            }
            // Heartbeats that arrived during the pause are not handled yet, so peer timeouts start
            // anew.
            mUninterruptedSinceMillis = nowMillis;
            mNextRenewalAtMillis = nowMillis;
        }
    }

    private void onStoreRead(RoleEvent.StoreRead event, long nowMillis) {
        mStoreView.onRead(event.holder(), nowMillis);
        mHighestToken.observe(event.highestStoredToken(), Optional.empty(), nowMillis);
        event.holder()
                .ifPresent(
                        s -> mHighestToken.observe(s.token(), Optional.of(s.holder()), nowMillis));
    }

    private void onAcquired(RoleEvent.Acquired event, long nowMillis, List<RoleAction> actions) {
        boolean alreadyHolder = isHolder() && mToken == event.token();
        if (!alreadyHolder && (mState != State.ACQUIRING || mAcquiringToken != event.token())) {
            actions.add(new RoleAction.Release(event.token()));
            return;
        }
        mAcquireDeadlineMillis = 0;
        mLease.onGranted(event.sentAtMillis(), nowMillis);
        mNextRenewalAtMillis = nowMillis + mSettings.renewalIntervalMillis();
        mStoreView.onResponse(event.sentAtMillis());
        if (alreadyHolder) {
            return;
        }
        mHighestToken.observe(event.token(), Optional.of(mSelf), nowMillis);
        if (mHighestToken.token() > event.token() || !mLease.isHeld()) {
            mState = State.NOT_HOLDING;
            mNextAcquireAtMillis = nowMillis + ACQUIRE_RETRY_MILLIS;
            actions.add(new RoleAction.Release(event.token()));
            return;
        }
        startHolding(event.token(), actions);
    }

    private void onAcquireFailed(long nowMillis) {
        mAcquireDeadlineMillis = 0;
        if (mState == State.ACQUIRING) {
            mState = State.NOT_HOLDING;
        }
        mNextAcquireAtMillis = nowMillis + ACQUIRE_RETRY_MILLIS;
    }

    private void onLeaseRenewed(RoleEvent.LeaseRenewed event, long nowMillis) {
        mStoreView.onResponse(event.sentAtMillis());
        if (isHolder()) {
            mLease.onRenewed(event.sentAtMillis(), nowMillis);
        }
    }

    private void onHeartbeatReceived(RoleEvent.HeartbeatReceived event, long nowMillis) {
        mPeers.onHeartbeatReceived(event, nowMillis);
        mHighestToken.observe(event.highestSeenToken(), Optional.empty(), nowMillis);
        if (event.heldToken() > 0) {
            mHighestToken.observe(event.heldToken(), Optional.of(event.peer()), nowMillis);
        }
    }

    private void onHandoverOffered(
            RoleEvent.HandoverOffered event, long nowMillis, List<RoleAction> actions) {
        boolean fromCurrentHolder =
                mStoreView.isHeldWith(event.token()) && event.token() == mHighestToken.token();
        if (mState == State.NOT_HOLDING && !mDraining && fromCurrentHolder) {
            acquire(
                    RoleTokens.nextStoreToken(mHighestToken.token()),
                    event.token(),
                    nowMillis,
                    actions);
        }
    }

    private void onDrainStarted(List<RoleAction> actions) {
        mDraining = true;
        mQuorumElection.withdrawSilently();
        actions.add(new RoleAction.Announce());
    }

    private void decide(long nowMillis, List<RoleAction> actions) {
        if (mState == State.ACQUIRING && nowMillis >= mAcquireDeadlineMillis) {
            mState = State.NOT_HOLDING;
        }
        if (isHolder()) {
            decideAsHolder(nowMillis, actions);
        } else if (!mDraining && mState == State.NOT_HOLDING) {
            if (isStoreReachable(nowMillis)) {
                mQuorumElection.withdraw(actions);
                decideByStore(nowMillis, actions);
            } else {
                decideByQuorum(nowMillis, actions);
            }
        }
    }

    private void decideAsHolder(long nowMillis, List<RoleAction> actions) {
        if (mHighestToken.token() > mToken) {
            stopHolding("superseded by token " + mHighestToken.token(), actions);
            return;
        }
        mLease.endIfExpired(nowMillis);
        if (!mLease.isHeld() && mSettings.needsMajority() && !mPeers.reachesMajority(nowMillis)) {
            stopHolding("store lease expired and no majority of entries reachable", actions);
            return;
        }
        if (mState == State.SUSPENDED && canResume(nowMillis)) {
            startHolding(mToken, actions);
        }
        if (nowMillis >= mNextRenewalAtMillis) {
            mNextRenewalAtMillis = nowMillis + mSettings.renewalIntervalMillis();
            renewLease(nowMillis, actions);
        }
        if (mDraining && nowMillis >= mNextHandoverOfferAtMillis) {
            mNextHandoverOfferAtMillis = nowMillis + HANDOVER_RETRY_MILLIS;
            mPeers.preferredSuccessor(nowMillis)
                    .ifPresent(peer -> actions.add(new RoleAction.OfferHandover(peer, mToken)));
        }
    }

    /** Renews the lease, or writes a holder that was elected by votes to the store. */
    private void renewLease(long nowMillis, List<RoleAction> actions) {
        if (mLease.isHeld() || mStoreView.isHeldWith(mToken)) {
            actions.add(new RoleAction.RenewLease());
            return;
        }
        boolean olderHolderStored = mStoreView.holder().filter(s -> s.token() < mToken).isPresent();
        if (mStoreView.isRoleRead()
                && !olderHolderStored
                && isStoreReachable(nowMillis)
                && nowMillis >= mAcquireDeadlineMillis) {
            mAcquireDeadlineMillis = nowMillis + ACQUIRE_TIMEOUT_MILLIS;
            actions.add(new RoleAction.Acquire(mToken, 0));
        }
    }

    /**
     * Returns whether a suspended holder may act again: it has extended its lease since the pause,
     * or it holds the role without the store and can reach a majority.
     */
    private boolean canResume(long nowMillis) {
        if (mLease.wasExtendedSince(mUninterruptedSinceMillis)) {
            return true;
        }
        return !mLease.isHeld()
                && !isStoreReachable(nowMillis)
                && nowMillis - mUninterruptedSinceMillis >= RESUME_DELAY_MILLIS
                && mPeers.reachesMajority(nowMillis);
    }

    private void decideByStore(long nowMillis, List<RoleAction> actions) {
        if (!mStoreView.isVacant() || nowMillis < mNextAcquireAtMillis) {
            return;
        }
        long vacantMillis = mStoreView.vacantMillis(nowMillis);
        if (vacantMillis < REGISTRATION_GRACE_MILLIS && isKnownHolderAlive(nowMillis)) {
            return;
        }
        if (vacantMillis >= mPeers.ownRank() * ACQUIRE_DELAY_PER_RANK_MILLIS) {
            long highest = Math.max(mHighestToken.token(), mQuorumElection.highestVotedToken());
            acquire(RoleTokens.nextStoreToken(highest), 0, nowMillis, actions);
        }
    }

    private void decideByQuorum(long nowMillis, List<RoleAction> actions) {
        OptionalLong won = mQuorumElection.decide(mUninterruptedSinceMillis, nowMillis, actions);
        if (won.isPresent()) {
            mQuorumElection.withdrawSilently();
            mHighestToken.observe(won.getAsLong(), Optional.of(mSelf), nowMillis);
            mLease.end();
            mNextRenewalAtMillis = nowMillis;
            startHolding(won.getAsLong(), actions);
            actions.add(new RoleAction.Announce());
        }
    }

    private void acquire(long token, long replacedToken, long nowMillis, List<RoleAction> actions) {
        mState = State.ACQUIRING;
        mAcquiringToken = token;
        mAcquireDeadlineMillis = nowMillis + ACQUIRE_TIMEOUT_MILLIS;
        actions.add(new RoleAction.Acquire(token, replacedToken));
    }

    private void startHolding(long token, List<RoleAction> actions) {
        mState = State.HOLDING;
        mToken = token;
        actions.add(new RoleAction.Gained(token));
    }

    private void stopHolding(String reason, List<RoleAction> actions) {
        if (mState == State.HOLDING) {
            actions.add(new RoleAction.Lost(mToken, reason));
        }
        actions.add(new RoleAction.Release(mToken));
        mState = State.NOT_HOLDING;
        mLease.end();
        mAcquireDeadlineMillis = 0;
    }

    private boolean isHolder() {
        return mState == State.HOLDING || mState == State.SUSPENDED;
    }

    /** Returns whether the last known holder is alive and still reports that it holds the role. */
    private boolean isKnownHolderAlive(long nowMillis) {
        return mHighestToken
                .holder()
                .filter(
                        h ->
                                mPeers.isAlive(h, nowMillis)
                                        && mPeers.reportsHolding(h, mHighestToken.token()))
                .isPresent();
    }
}
