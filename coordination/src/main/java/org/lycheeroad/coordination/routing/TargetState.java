package org.lycheeroad.coordination.routing;

import java.util.HashSet;
import java.util.Set;
import org.lycheeroad.state.topology.TargetInfo;

/** What this entry knows of one target. */
final class TargetState {
    /** Requests that hold a connection, or have one reserved while their claim is made. */
    final Set<RoutedRequest> mHeldRequests = new HashSet<>();

    final TargetHealth mHealth = new TargetHealth();
    TargetInfo mInfo;

    /** Number of requests of this entry that run far longer than is typical for their flow. */
    int mOverdueCount;

    private long mWindowStartMicros = Long.MIN_VALUE / 2;
    private int mLongStartsInWindow;
    private int mShortCount;
    private double mShortRequestMicros;
    private long mShortUpdatedMicros;
    private long mReportTakenMicros;

    TargetState(TargetInfo info, long now) {
        mInfo = info;
        mShortUpdatedMicros = now;
        mReportTakenMicros = now;
    }

    int heldCount() {
        return mHeldRequests.size();
    }

    /** Takes on a request; whether it is long is in {@link RoutedRequest#mCountedAsLong}. */
    void hold(RoutedRequest request, long now) {
        mHeldRequests.add(request);
        if (request.mCountedAsLong) {
            longStartsInWindow(now);
            mLongStartsInWindow++;
        } else {
            changeShortCount(1, now);
        }
    }

    /** Gives up a request taken on before. */
    void release(RoutedRequest request, long now) {
        if (mHeldRequests.remove(request) && !request.mCountedAsLong) {
            changeShortCount(-1, now);
        }
    }

    /** Returns the requests that hold a connection while their claim is made. */
    long claimingCount() {
        return mHeldRequests.stream().filter(r -> r.mPhase == RoutedRequest.Phase.CLAIMING).count();
    }

    int longCount() {
        return mHeldRequests.size() - mShortCount;
    }

    /** Returns the mean number of short requests since the last call. */
    double takeMeanShortCount(long now) {
        changeShortCount(0, now);
        long micros = now - mReportTakenMicros;
        double mean = micros > 0 ? mShortRequestMicros / micros : mShortCount;
        mShortRequestMicros = 0;
        mReportTakenMicros = now;
        return mean;
    }

    private void changeShortCount(int change, long now) {
        mShortRequestMicros += (double) mShortCount * (now - mShortUpdatedMicros);
        mShortUpdatedMicros = now;
        mShortCount += change;
    }

    /** Returns the long requests taken on since about one heartbeat, which peers don't know of. */
    int longStartsInWindow(long now) {
        if (now - mWindowStartMicros >= SlotAdmission.PEER_REPORT_DELAY_MICROS) {
            mWindowStartMicros = now;
            mLongStartsInWindow = 0;
        }
        return mLongStartsInWindow;
    }
}
