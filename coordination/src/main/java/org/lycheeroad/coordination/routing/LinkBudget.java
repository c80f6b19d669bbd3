package org.lycheeroad.coordination.routing;

import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.state.id.RequestId;

/**
 * Admits requests to the link between regions at a rate of bytes in each direction.
 *
 * <p>A crossing is admitted before its bytes are known. It is charged with the mean of its flow,
 * and with the difference once its bytes are counted. The bytes of any period are at most the rate
 * times its length, plus the larger of the burst and one expected size, plus what crossings in
 * flight exceed their expected sizes by.
 *
 * <p>A flow of unknown size is charged with an assumed one. Only one crossing of it at a time would
 * bound the overshoot of new large work, but makes checks wait at the crest of a swing.
 */
final class LinkBudget {
    /** The same time as for limits: a changed share acts at once. */
    private static final double BURST_SECONDS = 0.25;

    /** Charged in each direction while a flow has no count: half of 30 kB for both ways. */
    private static final double DEFAULT_BYTES = 15_000;

    /** Weight of a new sample, so that a changed size is learned from about ten crossings. */
    private static final double SAMPLE_WEIGHT = 0.1;

    private static final int MAX_FLOWS = 4_096;

    /** What one crossing was charged with, in bytes. */
    record LinkCharge(Flow flow, double sentBytes, double receivedBytes) {}

    private record AttemptKey(RequestId request, int number) {}

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

    /** Changes the rate in bytes per second; what is owed stays owed. */
    void setRate(double bytesPerSecond, long nowMicros) {
        refill(nowMicros);
        mBytesPerSecond = bytesPerSecond;
        capAtBurst();
    }

    /** Charges a crossing, or returns null if the link has no room for it now. */
    LinkCharge tryCharge(Flow flow, long nowMicros) {
        refill(nowMicros);
        MeanSize size = mMeanSizes.get(flow);
        if (mBytesPerSecond <= 0) {
            return null;
        }
        double sent = size == null ? DEFAULT_BYTES : size.mSentBytes;
        double received = size == null ? DEFAULT_BYTES : size.mReceivedBytes;
        // Work larger than the burst could otherwise never cross.
        if (mSendBalanceBytes < Math.min(sent, burstBytes())
                || mReceiveBalanceBytes < Math.min(received, burstBytes())) {
            return null;
        }
        mSendBalanceBytes -= sent;
        mReceiveBalanceBytes -= received;
        return new LinkCharge(flow, sent, received);
    }

    /** Counts what a request would send over the link, whether it is admitted or not. */
    void recordDemand(Flow flow) {
        MeanSize size = mMeanSizes.get(flow);
        mDemandBytes +=
                size == null ? DEFAULT_BYTES : Math.max(size.mSentBytes, size.mReceivedBytes);
    }

    /** Returns the bytes wanted in the busier direction since the last call. */
    double takeDemandBytes() {
        double demand = mDemandBytes;
        mDemandBytes = 0;
        return demand;
    }

    /** Gives back the charge of a crossing that was not dispatched. */
    void refund(LinkCharge crossing) {
        replaceCharge(crossing, 0, 0);
    }

    /** Keeps the charge of a crossing until the bytes of its attempt are known. */
    void recordDispatch(RequestId request, int attempt, LinkCharge crossing) {
        mChargesInFlight.put(new AttemptKey(request, attempt), crossing);
    }

    /**
     * Replaces the charge of an attempt by its bytes; attempts that are not known are ignored.
     *
     * @param whole whether the answer came whole; other attempts show only that a size is larger
     */
    void settleAttempt(RequestId request, int attempt, long sent, long received, boolean whole) {
        LinkCharge crossing = mChargesInFlight.remove(new AttemptKey(request, attempt));
        if (crossing == null) {
            return;
        }
        replaceCharge(crossing, sent, received);
        if (whole || sent > crossing.sentBytes() || received > crossing.receivedBytes()) {
            mMeanSizes.computeIfAbsent(crossing.flow(), f -> new MeanSize()).add(sent, received);
        }
    }

    /** Returns the number of attempts whose bytes are not known yet. */
    int attemptsInFlightCount() {
        return mChargesInFlight.size();
    }

    private void replaceCharge(LinkCharge crossing, long sent, long received) {
        mSendBalanceBytes += crossing.sentBytes() - sent;
        mReceiveBalanceBytes += crossing.receivedBytes() - received;
        capAtBurst();
    }

    private void refill(long nowMicros) {
        long elapsed = Math.max(0, nowMicros - mUpdatedMicros);
        mSendBalanceBytes += elapsed * mBytesPerSecond / 1e6;
        mReceiveBalanceBytes += elapsed * mBytesPerSecond / 1e6;
        mUpdatedMicros += elapsed;
        capAtBurst();
    }

    private void capAtBurst() {
        mSendBalanceBytes = Math.min(mSendBalanceBytes, burstBytes());
        mReceiveBalanceBytes = Math.min(mReceiveBalanceBytes, burstBytes());
    }

    private double burstBytes() {
        return mBytesPerSecond * BURST_SECONDS;
    }

    /** The mean bytes of a flow in each direction. */
    private static final class MeanSize {
        double mSentBytes;
        double mReceivedBytes;
        long mSampleCount;

        void add(long sent, long received) {
            mSampleCount++;
            double weight = Math.max(SAMPLE_WEIGHT, 1.0 / mSampleCount);
            mSentBytes += weight * (sent - mSentBytes);
            mReceivedBytes += weight * (received - mReceivedBytes);
        }
    }
}
