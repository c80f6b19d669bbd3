package org.lycheeroad.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.state.id.RequestId;

/**
 * Limits the byte rate of requests over the link between regions, in each direction.
 *
 * <p>An attempt is admitted before its size is known. It is charged with the mean size of its flow,
 * and the charge is corrected once its bytes have been counted. In any period, the bytes are at
 * most the rate times the length of the period, plus the larger of the burst and one expected size,
 * plus the amount by which attempts in flight exceed their expected sizes.
 *
 * <p>A flow of unknown size is charged with a default size. Allowing only one attempt of such a
 * flow at a time would bound the overshoot by new, large requests, but would delay short checks at
 * peak load.
 */
final class LinkBudget {
    /** As for rate limits, the burst is short so that a changed share takes effect at once. */
    private static final double BURST_SECONDS = 0.25;

    /** The charge per direction for a flow of unknown size: half of 30 kB for both directions. */
    private static final double DEFAULT_BYTES = 15_000;

    /** The weight of a new sample; a changed size is learned from about ten attempts. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private static final int MAX_FLOWS = 4_096;

    /** The bytes with which an attempt was charged. */
    record LinkCharge(Flow flow, double sentBytes, double receivedBytes) {}

    private record AttemptKey(RequestId request, int attempt) {}

    private final Map<Flow, MeanSize> mMeanSizes = new ServiceTimes.LruMap<>(MAX_FLOWS);
    private final Map<AttemptKey, LinkCharge> mChargesInFlight = new HashMap<>();
    private double mBytesPerSecond;
    private double mSendBalanceBytes;
    private double mReceiveBalanceBytes;
    private long mUpdatedMicros;
    private double mDemandBytes;

    LinkBudget(double bytesPerSecond, long nowMicros) {
        mBytesPerSecond = bytesPerSecond;
        mSendBalanceBytes = burstBytes();
        mReceiveBalanceBytes = burstBytes();
        mUpdatedMicros = nowMicros;
    }

    /** Changes the rate; a negative balance is kept. */
    void setRate(double bytesPerSecond, long nowMicros) {
        refill(nowMicros);
        mBytesPerSecond = bytesPerSecond;
        capAtBurst();
    }

    /** Charges an attempt of a flow, or returns null if the budget does not allow it now. */
    LinkCharge tryCharge(Flow flow, long nowMicros) {
        refill(nowMicros);
        MeanSize size = mMeanSizes.get(flow);
        if (mBytesPerSecond <= 0) {
            return null;
        }
        double sentBytes = size == null ? DEFAULT_BYTES : size.mSentBytes;
        double receivedBytes = size == null ? DEFAULT_BYTES : size.mReceivedBytes;
        // Requests larger than the burst are admitted at a full balance; otherwise they never
        // could be.
        if (mSendBalanceBytes < Math.min(sentBytes, burstBytes())
                || mReceiveBalanceBytes < Math.min(receivedBytes, burstBytes())) {
            return null;
        }
        mSendBalanceBytes -= sentBytes;
        mReceiveBalanceBytes -= receivedBytes;
        return new LinkCharge(flow, sentBytes, receivedBytes);
    }

    /** Adds the expected bytes of a request to the demand, whether or not it is admitted. */
    void recordDemand(Flow flow) {
        MeanSize size = mMeanSizes.get(flow);
        mDemandBytes +=
                size == null ? DEFAULT_BYTES : Math.max(size.mSentBytes, size.mReceivedBytes);
    }

    /**
     * Returns the demand in bytes since the last call, and resets it. Each request counts with its
     * larger direction.
     */
    double takeDemandBytes() {
        double demandBytes = mDemandBytes;
        mDemandBytes = 0;
        return demandBytes;
    }

    /** Refunds the charge of an attempt that was not dispatched. */
    void refund(LinkCharge charge) {
        replaceCharge(charge, 0, 0);
    }

    /** Keeps the charge of a dispatched attempt until its bytes are known. */
    void recordDispatch(RequestId request, int attempt, LinkCharge charge) {
        mChargesInFlight.put(new AttemptKey(request, attempt), charge);
    }

    /**
     * Replaces the charge of an attempt by its actual bytes; unknown attempts are ignored.
     *
     * @param complete whether the answer was complete; the bytes of other attempts are only a lower
     *     bound of the size
     */
    void settleAttempt(
            RequestId request, int attempt, long sentBytes, long receivedBytes, boolean complete) {
        LinkCharge charge = mChargesInFlight.remove(new AttemptKey(request, attempt));
        if (charge == null) {
            return;
        }
        replaceCharge(charge, sentBytes, receivedBytes);
        if (complete || sentBytes > charge.sentBytes() || receivedBytes > charge.receivedBytes()) {
            mMeanSizes
                    .computeIfAbsent(charge.flow(), f -> new MeanSize())
                    .add(sentBytes, receivedBytes);
        }
    }

    /** Returns the number of dispatched attempts whose bytes are not known yet. */
    int attemptsInFlightCount() {
        return mChargesInFlight.size();
    }

    /** Replaces a charge by the given bytes. */
    private void replaceCharge(LinkCharge charge, long sentBytes, long receivedBytes) {
        mSendBalanceBytes += charge.sentBytes() - sentBytes;
        mReceiveBalanceBytes += charge.receivedBytes() - receivedBytes;
        capAtBurst();
    }

    private void refill(long nowMicros) {
        long elapsedMicros = Math.max(0, nowMicros - mUpdatedMicros);
        mSendBalanceBytes += elapsedMicros * mBytesPerSecond / 1e6;
        mReceiveBalanceBytes += elapsedMicros * mBytesPerSecond / 1e6;
        mUpdatedMicros += elapsedMicros;
        capAtBurst();
    }

    private void capAtBurst() {
        mSendBalanceBytes = Math.min(mSendBalanceBytes, burstBytes());
        mReceiveBalanceBytes = Math.min(mReceiveBalanceBytes, burstBytes());
    }

    private double burstBytes() {
        return mBytesPerSecond * BURST_SECONDS;
    }

    /** The moving average of the bytes of a flow in each direction. */
    private static final class MeanSize {
        double mSentBytes;
        double mReceivedBytes;
        long mSampleCount;

        void add(long sentBytes, long receivedBytes) {
            mSampleCount++;
            double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mSampleCount);
            mSentBytes += weight * (sentBytes - mSentBytes);
            mReceivedBytes += weight * (receivedBytes - mReceivedBytes);
        }
    }
}
