package org.lycheeroad.coordination.routing;

/**
 * Tracks the health of one target by the outcomes of its attempts (outlier ejection).
 *
 * <p>A target that fails several times in a row is ejected for some time and then probed with one
 * repeatable request at a time. After a successful probe, and when it is new, its load is increased
 * gradually (slow start): a cold target is slow, and a flapping one would break more requests.
 */
final class TargetHealth {
    /** A single broken connection is common when a target restarts a process; three are not. */
    static final int EJECT_AFTER_FAILURES = 3;

    /**
     * More than for failures, because error answers may be caused by the requests. In addition, the
     * other targets must have a lower error rate.
     */
    static final int EJECT_AFTER_ERROR_ANSWERS = 10;

    static final long FIRST_EJECTION_MICROS = 1_000_000;
    static final long MAX_EJECTION_MICROS = 30_000_000;
    static final long SLOW_START_MICROS = 5_000_000;

    /** The fraction of the slots that is used at the beginning of a slow start. */
    private static final double MIN_SLOW_START_FRACTION = 0.15;

    /** The pause after a refusal; it doubles with each further one in a row. */
    private static final long FIRST_REFUSAL_PAUSE_MICROS = 10_000;

    private static final int MAX_PAUSE_DOUBLINGS = 6;
    private static final long DRAINING_PAUSE_MICROS = 60_000_000;

    private int mConsecutiveFailures;
    private int mConsecutiveErrorAnswers;
    private int mEjectionCount;
    private int mConsecutiveRefusals;
    private boolean mEjected;
    private long mEjectedUntilMicros;
    private long mPausedUntilMicros;
    private long mSlowStartEndMicros;

    /** Begins the slow start of a target that is new or no longer ejected. */
    void beginSlowStart(long nowMicros) {
        mSlowStartEndMicros = nowMicros + SLOW_START_MICROS;
    }

    /**
     * Records a complete answer.
     *
     * @param mayEject whether the target may be ejected, considering the other targets
     */
    void recordAnswer(boolean error, boolean mayEject, long nowMicros) {
        mConsecutiveRefusals = 0;
        mConsecutiveFailures = 0;
        mConsecutiveErrorAnswers = error ? mConsecutiveErrorAnswers + 1 : 0;
        boolean tooManyErrors = mConsecutiveErrorAnswers >= EJECT_AFTER_ERROR_ANSWERS && mayEject;
        if (error && (mEjected || tooManyErrors)) {
            eject(nowMicros);
        } else if (mEjected && !error) {
            mEjected = false;
            beginSlowStart(nowMicros);
        } else if (!error && nowMicros > mSlowStartEndMicros + MAX_EJECTION_MICROS) {
            mEjectionCount = 0;
        }
    }

    /** Records an attempt that failed without an answer. */
    void recordFailure(boolean mayEject, long nowMicros) {
        mConsecutiveFailures++;
        if (mEjected || (mConsecutiveFailures >= EJECT_AFTER_FAILURES && mayEject)) {
            eject(nowMicros);
        }
    }

    /** Records a refusal for lack of slots; a short pause prevents immediate retries. */
    void recordRefusal(long nowMicros) {
        long pauseMicros =
                FIRST_REFUSAL_PAUSE_MICROS << Math.min(mConsecutiveRefusals, MAX_PAUSE_DOUBLINGS);
        // A refusal for lack of slots must not shorten the pause of a draining target.
        mPausedUntilMicros = Math.max(mPausedUntilMicros, nowMicros + pauseMicros);
        mConsecutiveRefusals++;
    }

    /** Records that the target reported its shutdown, before the list of targets shows it. */
    void recordDraining(long nowMicros) {
        mPausedUntilMicros = nowMicros + DRAINING_PAUSE_MICROS;
    }

    boolean isPaused(long nowMicros) {
        return nowMicros < mPausedUntilMicros;
    }

    boolean isEjected() {
        return mEjected;
    }

    /** Returns whether the target is ejected and may be probed. */
    boolean mayProbe(long nowMicros) {
        return mEjected && nowMicros >= mEjectedUntilMicros;
    }

    /**
     * Returns the fraction of the slots that may be used now: above 0, and 1 after the slow start.
     */
    double slowStartFraction(long nowMicros) {
        if (nowMicros >= mSlowStartEndMicros) {
            return 1;
        }
        double remainingFraction = (double) (mSlowStartEndMicros - nowMicros) / SLOW_START_MICROS;
        return Math.max(MIN_SLOW_START_FRACTION, 1 - remainingFraction);
    }

    private void eject(long nowMicros) {
        mEjected = true;
        mConsecutiveErrorAnswers = 0;
        long ejectionMicros = FIRST_EJECTION_MICROS << Math.min(mEjectionCount, 5);
        mEjectedUntilMicros = nowMicros + Math.min(MAX_EJECTION_MICROS, ejectionMicros);
        mEjectionCount++;
    }
}
