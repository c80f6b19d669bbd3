package org.lycheeroad.coordination.roles;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.lycheeroad.state.id.EntryId;

/**
 * Decides whether one entry holds one role.
 *
 * <p>While the store answers, its key names the holder; while it does not, {@link QuorumElection}
 * decides. {@link RoleTokens} keeps the tokens of the two ways apart, so no two holders ever share
 * a token.
 *
 * <p>Times are in milliseconds of a monotonic clock.
 */
public final class RoleElection {
    /** A holder that peers hear gets this long to write itself to the store before others do. */
    static final long REGISTRATION_GRACE_MILLIS = 1_500;

    /** Candidates try in the order of preference, this far apart, to spare the store. */
    static final long ACQUIRE_DELAY_PER_RANK_MILLIS = 50;

    /** Two heartbeats: after a pause the peers' news that arrived meanwhile are read first. */
    static final long RESUME_DELAY_MILLIS = 1_000;

    private static final long ACQUIRE_RETRY_MILLIS = 200;
    private static final long ACQUIRE_TIMEOUT_MILLIS = 3_000;
    private static final long HANDOVER_RETRY_MILLIS = 300;

    private enum State {
        NOT_HOLDING,
        ACQUIRING,
        HOLDING,
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
    private long mToken;
    private long mNextRenewalAtMillis;
    private long mNextAcquireAtMillis;
    private long mAcquireDeadlineMillis;
    private long mAcquiringToken;
    private long mNextHandoverOfferAtMillis;
    private long mUninterruptedSinceMillis;

    private long mLastEventAtMillis;

    /**
     * Creates the election of a role at the start of an entry.
     *
     * @param nowMillis the present time
     */
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

    /** Handles one event and returns what to do, in order. */
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

    /** Returns whether the entry may act with the token, without handling any event. */
    public boolean mayAct(long token, long nowMillis) {
        return mState == State.HOLDING
                && mToken == token
                && nowMillis - mLastEventAtMillis <= mSettings.maxPauseMillis();
    }

    /** Returns the token with which the entry may act, or 0; peers are told this token. */
    public long heldToken() {
        return mState == State.HOLDING ? mToken : 0;
    }

    /** Returns the highest token that any entry is known to have held the role with. */
    public long highestToken() {
        return mHighestToken.token();
    }

    /** Returns the vote to send with heartbeats. */
    public Optional<RoleVote> vote() {
        return mQuorumElection.vote();
    }

    /** Returns the entry that was last known to hold the role. */
    public Optional<EntryId> holder() {
        return mHighestToken.holder();
    }

    /** Returns whether nobody competes for the role, as the store answers and names a holder. */
    public boolean isSettled(long nowMillis) {
        return mStoreView.holder().isPresent() && isStoreReachable(nowMillis);
    }

    /** Returns whether the store answered recently. */
    public boolean isStoreReachable(long nowMillis) {
        return mStoreView.isReachable(nowMillis);
    }

    private void detectPause(long now, List<RoleAction> actions) {
        if (now - mLastEventAtMillis > mSettings.maxPauseMillis()) {
            if (mState == State.HOLDING) {
                mState = State.SUSPENDED;
                actions.add(new RoleAction.Lost(mToken, "paused"));
            }
            // Peers may have spoken while nobody listened, so their silence is counted anew.
            mUninterruptedSinceMillis = now;
            mNextRenewalAtMillis = now;
        }
    }

    private void onStoreRead(RoleEvent.StoreRead event, long now) {
        mStoreView.onRead(event.holder(), now);
        mHighestToken.observe(event.highestStoredToken(), Optional.empty(), now);
        event.holder()
                .ifPresent(s -> mHighestToken.observe(s.token(), Optional.of(s.holder()), now));
    }

    private void onAcquired(RoleEvent.Acquired event, long now, List<RoleAction> actions) {
        boolean registered = isHolder() && mToken == event.token();
        if (!registered && (mState != State.ACQUIRING || mAcquiringToken != event.token())) {
            actions.add(new RoleAction.Release(event.token()));
            return;
        }
        mAcquireDeadlineMillis = 0;
        mLease.onGranted(event.sentAtMillis(), now);
        mNextRenewalAtMillis = now + mSettings.renewalIntervalMillis();
        mStoreView.onResponse(event.sentAtMillis());
        if (registered) {
            return;
        }
        mHighestToken.observe(event.token(), Optional.of(mSelf), now);
        if (mHighestToken.token() > event.token() || !mLease.isHeld()) {
            mState = State.NOT_HOLDING;
            mNextAcquireAtMillis = now + ACQUIRE_RETRY_MILLIS;
            actions.add(new RoleAction.Release(event.token()));
            return;
        }
        startHolding(event.token(), actions);
    }

    private void onAcquireFailed(long now) {
        mAcquireDeadlineMillis = 0;
        if (mState == State.ACQUIRING) {
            mState = State.NOT_HOLDING;
        }
        mNextAcquireAtMillis = now + ACQUIRE_RETRY_MILLIS;
    }

    private void onLeaseRenewed(RoleEvent.LeaseRenewed event, long now) {
        mStoreView.onResponse(event.sentAtMillis());
        if (isHolder()) {
            mLease.onRenewed(event.sentAtMillis(), now);
        }
    }

    private void onHeartbeatReceived(RoleEvent.HeartbeatReceived event, long now) {
        mPeers.onHeartbeatReceived(event, now);
        mHighestToken.observe(event.highestSeenToken(), Optional.empty(), now);
        if (event.heldToken() > 0) {
            mHighestToken.observe(event.heldToken(), Optional.of(event.peer()), now);
        }
    }

    private void onHandoverOffered(
            RoleEvent.HandoverOffered event, long now, List<RoleAction> actions) {
        boolean current =
                mStoreView.isHeldWith(event.token()) && event.token() == mHighestToken.token();
        if (mState == State.NOT_HOLDING && !mDraining && current) {
            acquire(RoleTokens.nextStoreToken(mHighestToken.token()), event.token(), now, actions);
        }
    }

    private void onDrainStarted(List<RoleAction> actions) {
        mDraining = true;
        mQuorumElection.withdrawSilently();
        actions.add(new RoleAction.Announce());
    }

    private void decide(long now, List<RoleAction> actions) {
        if (mState == State.ACQUIRING && now >= mAcquireDeadlineMillis) {
            mState = State.NOT_HOLDING;
        }
        if (isHolder()) {
            decideAsHolder(now, actions);
        } else if (!mDraining && mState == State.NOT_HOLDING) {
            if (isStoreReachable(now)) {
                mQuorumElection.withdraw(actions);
                decideByStore(now, actions);
            } else {
                decideByQuorum(now, actions);
            }
        }
    }

    private void decideAsHolder(long now, List<RoleAction> actions) {
        if (mHighestToken.token() > mToken) {
            stopHolding("superseded by token " + mHighestToken.token(), actions);
            return;
        }
        mLease.endIfExpired(now);
        if (!mLease.isHeld() && mSettings.needsMajority() && !mPeers.reachesMajority(now)) {
            stopHolding("neither store nor majority", actions);
            return;
        }
        if (mState == State.SUSPENDED && canResume(now)) {
            startHolding(mToken, actions);
        }
        if (now >= mNextRenewalAtMillis) {
            mNextRenewalAtMillis = now + mSettings.renewalIntervalMillis();
            renewLease(now, actions);
        }
        if (mDraining && now >= mNextHandoverOfferAtMillis) {
            mNextHandoverOfferAtMillis = now + HANDOVER_RETRY_MILLIS;
            mPeers.preferredSuccessor(now)
                    .ifPresent(c -> actions.add(new RoleAction.OfferHandover(c, mToken)));
        }
    }

    private void renewLease(long now, List<RoleAction> actions) {
        if (mLease.isHeld() || mStoreView.isHeldWith(mToken)) {
            actions.add(new RoleAction.RenewLease());
            return;
        }
        boolean stale = mStoreView.holder().filter(s -> s.token() < mToken).isPresent();
        if (mStoreView.isRoleRead()
                && !stale
                && isStoreReachable(now)
                && now >= mAcquireDeadlineMillis) {
            mAcquireDeadlineMillis = now + ACQUIRE_TIMEOUT_MILLIS;
            actions.add(new RoleAction.Acquire(mToken, 0));
        }
    }

    private boolean canResume(long now) {
        if (mLease.wasExtendedSince(mUninterruptedSinceMillis)) {
            return true;
        }
        return !mLease.isHeld()
                && !isStoreReachable(now)
                && now - mUninterruptedSinceMillis >= RESUME_DELAY_MILLIS
                && mPeers.reachesMajority(now);
    }

    private void decideByStore(long now, List<RoleAction> actions) {
        if (!mStoreView.isVacant() || now < mNextAcquireAtMillis) {
            return;
        }
        long vacantMillis = mStoreView.vacantMillis(now);
        if (vacantMillis < REGISTRATION_GRACE_MILLIS && isKnownHolderAlive(now)) {
            return;
        }
        if (vacantMillis >= mPeers.ownRank() * ACQUIRE_DELAY_PER_RANK_MILLIS) {
            long highest = Math.max(mHighestToken.token(), mQuorumElection.highestVotedToken());
            acquire(RoleTokens.nextStoreToken(highest), 0, now, actions);
        }
    }

    private void decideByQuorum(long now, List<RoleAction> actions) {
        OptionalLong won = mQuorumElection.decide(mUninterruptedSinceMillis, now, actions);
        if (won.isPresent()) {
            mQuorumElection.withdrawSilently();
            mHighestToken.observe(won.getAsLong(), Optional.of(mSelf), now);
            mLease.end();
            mNextRenewalAtMillis = now;
            startHolding(won.getAsLong(), actions);
            actions.add(new RoleAction.Announce());
        }
    }

    private void acquire(long token, long replaces, long now, List<RoleAction> actions) {
        mState = State.ACQUIRING;
        mAcquiringToken = token;
        mAcquireDeadlineMillis = now + ACQUIRE_TIMEOUT_MILLIS;
        actions.add(new RoleAction.Acquire(token, replaces));
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

    /** Returns whether the last known holder is heard and still says that it holds the role. */
    private boolean isKnownHolderAlive(long now) {
        return mHighestToken
                .holder()
                .filter(
                        h ->
                                mPeers.isAlive(h, now)
                                        && mPeers.reportsHolding(h, mHighestToken.token()))
                .isPresent();
    }
}
