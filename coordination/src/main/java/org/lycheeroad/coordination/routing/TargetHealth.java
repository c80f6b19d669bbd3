package org.lycheeroad.coordination.routing;

/**
 * Judges one target by the ends of its attempts.
 *
 * <p>A target that fails several times in a row is ejected for a while, then probed with one
 * repeatable request at a time. After a good probe, or when it is new, it takes its full part of
 * the work only after a slow start, as a cold target is slow and a flapping one would break more.
 */
final class TargetHealth {
    /** One broken connection is common when a target restarts a process; three are not. */
    static final int EJECT_AFTER_FAILURES = 3;

    /**
     * Error answers may be the fault of the requests, so it takes more of them, and the other
     * targets must do better.
     */
    static final int EJECT_AFTER_ERROR_ANSWERS = 10;

    static final long FIRST_EJECTION_MICROS = 1_000_000;
    static final long MAX_EJECTION_MICROS = 30_000_000;
    static final long SLOW_START_MICROS = 5_000_000;
    private static final double MIN_SLOW_START_FRACTION = 0.15;
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

    /** Starts the slow start of a target that is new or has returned. */
    void beginSlowStart(long now) {
        mSlowStartEndMicros = now + SLOW_START_MICROS;
    }

    /**
     * Takes in a whole answer.
     *
     * @param mayEject whether the answers of other targets and their number allow an ejection
     */
    void recordAnswer(boolean error, boolean mayEject, long now) {
        mConsecutiveRefusals = 0;
        mConsecutiveFailures = 0;
        mConsecutiveErrorAnswers = error ? mConsecutiveErrorAnswers + 1 : 0;
        boolean tooManyErrors = mConsecutiveErrorAnswers >= EJECT_AFTER_ERROR_ANSWERS && mayEject;
        if (error && (mEjected || tooManyErrors)) {
            eject(now);
        } else if (mEjected && !error) {
            mEjected = false;
            beginSlowStart(now);
        } else if (!error && now > mSlowStartEndMicros + MAX_EJECTION_MICROS) {
            mEjectionCount = 0;
        }
    }

    /** Takes in an attempt that ended without an answer. */
    void recordFailure(boolean mayEject, long now) {
        mConsecutiveFailures++;
        if (mEjected || (mConsecutiveFailures >= EJECT_AFTER_FAILURES && mayEject)) {
            eject(now);
        }
    }

    /** The target had no free slot; a short pause keeps retries from asking it again at once. */
    void recordRefusal(long now) {
        long pause =
                FIRST_REFUSAL_PAUSE_MICROS << Math.min(mConsecutiveRefusals, MAX_PAUSE_DOUBLINGS);
        // A refusal for lack of slots must not shorten the pause of a leaving target.
        mPausedUntilMicros = Math.max(mPausedUntilMicros, now + pause);
        mConsecutiveRefusals++;
    }

    /** The target said that it is leaving, which the list of targets will show only later. */
    void recordDraining(long now) {
        mPausedUntilMicros = now + DRAINING_PAUSE_MICROS;
    }

    boolean isPaused(long now) {
        return now < mPausedUntilMicros;
    }

    boolean isEjected() {
        return mEjected;
    }

    /** Tells whether an ejected target may get a probe. */
    boolean mayProbe(long now) {
        return mEjected && now >= mEjectedUntilMicros;
    }

    /** Returns the part of its slots that the target should use now, above 0 and at most 1. */
    double slowStartFraction(long now) {
        if (now >= mSlowStartEndMicros) {
            return 1;
        }
        double cold = (double) (mSlowStartEndMicros - now) / SLOW_START_MICROS;
        return Math.max(MIN_SLOW_START_FRACTION, 1 - cold);
    }

    private void eject(long now) {
        mEjected = true;
        mConsecutiveErrorAnswers = 0;
        long time = FIRST_EJECTION_MICROS << Math.min(mEjectionCount, 5);
        mEjectedUntilMicros = now + Math.min(MAX_EJECTION_MICROS, time);
        mEjectionCount++;
    }
}
