package org.lycheeroad.coordination.routing;

import java.util.HashSet;
import java.util.Set;
import org.lycheeroad.state.topology.TargetInfo;

/** The state of one target as known to this entry. */
final class TargetState {
    /** The requests that hold a connection, also those that only have it reserved for a claim. */
    final Set<RoutedRequest> mHeldRequests = new HashSet<>();

    final TargetHealth mHealth = new TargetHealth();
    TargetInfo mInfo;

    /** The number of overdue requests of this entry; see {@link OverdueAttempts}. */
    int mOverdueCount;

    private long mWindowStartMicros = Long.MIN_VALUE / 2;
    private int mLongStartsInWindow;
    private int mShortCount;

    /** The integral of {@link #mShortCount} over the time since the last report. */
    private double mShortRequestMicros;

    private long mShortUpdatedMicros;
    private long mLastReportMicros;

    TargetState(TargetInfo info, long nowMicros) {
        mInfo = info;
        mShortUpdatedMicros = nowMicros;
        mLastReportMicros = nowMicros;
    }

    int heldCount() {
        return mHeldRequests.size();
    }

    /** Adds a request, which is long if {@link RoutedRequest#mCountedAsLong} is set. */
    void addRequest(RoutedRequest request, long nowMicros) {
        mHeldRequests.add(request);
        if (request.mCountedAsLong) {
            longStartsInWindow(nowMicros);
            mLongStartsInWindow++;
        } else {
            changeShortCount(1, nowMicros);
        }
    }

    /** Removes a request; does nothing if it is not held. */
    void removeRequest(RoutedRequest request, long nowMicros) {
        if (mHeldRequests.remove(request) && !request.mCountedAsLong) {
            changeShortCount(-1, nowMicros);
        }
    }

    /** Returns the number of requests that hold a connection while their claim is pending. */
    long claimingCount() {
        return mHeldRequests.stream().filter(r -> r.mPhase == RoutedRequest.Phase.CLAIMING).count();
    }

    int longCount() {
        return mHeldRequests.size() - mShortCount;
    }

    /** Returns the mean number of short requests since the last call, and resets it. */
    double takeMeanShortCount(long nowMicros) {
        changeShortCount(0, nowMicros);
        long elapsedMicros = nowMicros - mLastReportMicros;
        double mean = elapsedMicros > 0 ? mShortRequestMicros / elapsedMicros : mShortCount;
        mShortRequestMicros = 0;
        mLastReportMicros = nowMicros;
        return mean;
    }

    private void changeShortCount(int change, long nowMicros) {
        mShortRequestMicros += (double) mShortCount * (nowMicros - mShortUpdatedMicros);
        mShortUpdatedMicros = nowMicros;
        mShortCount += change;
    }

    /**
     * Returns the number of long requests added in the current window.
     *
     * <p>The window is about as long as the report delay, so that the other entries may not know of
     * these requests yet.
     */
    int longStartsInWindow(long nowMicros) {
        if (nowMicros - mWindowStartMicros >= SlotAdmission.PEER_REPORT_DELAY_MICROS) {
            mWindowStartMicros = nowMicros;
            mLongStartsInWindow = 0;
        }
        return mLongStartsInWindow;
    }
}
