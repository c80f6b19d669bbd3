package org.lycheeroad.coordination.jobs;

/**
 * Measures the speed of a run from the percentages of its work that its worker reports.
 *
 * <p>The percentages are whole numbers, so the speed is measured over a window of about a second.
 */
final class RunProgress {
    /** The least length of the window; over a shorter one, the rounding outweighs the progress. */
    private static final long MIN_WINDOW_MS = 800;

    /** The progress within the window from which the speed is exact enough for a forecast. */
    private static final int MIN_FORECAST_PERCENT = 5;

    /** The progress that a run has to be expected to make before its speed is judged. */
    private static final int MIN_COMPARED_PERCENT = 8;

    private static final int COMPLETE_PERCENT = 100;

    /** The remaining time of a run without progress: a year. */
    private static final double MAX_REMAINING_MS = 365.0 * 24 * 3_600 * 1_000;

    private boolean mStarted;
    private long mWindowStartMs;
    private int mWindowStartPercent;
    private long mNextWindowStartMs;
    private int mNextWindowStartPercent;
    private long mLastAtMs;
    private int mLastPercent;
    private long mAdvancedAtMs;
    private double mPeakPercentPerMs;

    /**
     * Starts the measurement. A run that resumes from a checkpoint starts with its first report,
     * since it does not begin at 0 percent.
     */
    void start(int percent, long nowMs) {
        mStarted = true;
        mWindowStartMs = nowMs;
        mWindowStartPercent = percent;
        mNextWindowStartMs = nowMs;
        mNextWindowStartPercent = percent;
        mLastAtMs = nowMs;
        mLastPercent = percent;
        mAdvancedAtMs = nowMs;
        mPeakPercentPerMs = 0;
    }

    /** Adds a reported percentage. */
    void report(int percent, long nowMs) {
        if (!mStarted) {
            start(percent, nowMs);
            return;
        }
        if (nowMs - mNextWindowStartMs >= MIN_WINDOW_MS) {
            mWindowStartMs = mNextWindowStartMs;
            mWindowStartPercent = mNextWindowStartPercent;
            mNextWindowStartMs = nowMs;
            mNextWindowStartPercent = percent;
        }
        if (percent > mLastPercent) {
            mAdvancedAtMs = nowMs;
        }
        mLastAtMs = nowMs;
        mLastPercent = Math.max(mLastPercent, percent);
        if (isMeasured() && windowProgress() >= MIN_FORECAST_PERCENT) {
            mPeakPercentPerMs = Math.max(mPeakPercentPerMs, percentPerMs());
        }
    }

    /** Returns the last reported percentage. */
    int percent() {
        return mLastPercent;
    }

    /** Returns when the percentage last increased. */
    long advancedAtMs() {
        return mAdvancedAtMs;
    }

    /** Returns when the percentage was last reported; what has happened since is unknown. */
    long reportedAtMs() {
        return mLastAtMs;
    }

    /**
     * Returns whether all work is done; a member of a gang then waits for the others. A
     * long-running task is at work from then on.
     */
    boolean isComplete() {
        return mLastPercent >= COMPLETE_PERCENT;
    }

    /** Returns the length of the window over which the speed is measured. */
    private long windowMs() {
        return mLastAtMs - mWindowStartMs;
    }

    /** Returns whether the window is long enough to tell a slow run from a fast one. */
    boolean isMeasured() {
        return mStarted && windowMs() >= MIN_WINDOW_MS;
    }

    /**
     * Returns the speed in relation to a reference, or NaN if the reference would not have led to
     * enough progress to tell.
     */
    double speedRelativeTo(double referencePercentPerMs) {
        return referencePercentPerMs * windowMs() >= MIN_COMPARED_PERCENT
                ? percentPerMs() / referencePercentPerMs
                : Double.NaN;
    }

    /** Returns the speed in percent of the run's work per millisecond. */
    double percentPerMs() {
        return windowMs() <= 0 ? 0 : (double) windowProgress() / windowMs();
    }

    /** Returns the highest speed that was measured so far, or 0. */
    double peakPercentPerMs() {
        return mPeakPercentPerMs;
    }

    /** Returns whether {@link #remainingMs} is exact enough to replace an estimate. */
    boolean canForecast() {
        return isComplete() || (windowMs() > 0 && windowProgress() >= MIN_FORECAST_PERCENT);
    }

    /** Returns the time until the run's work is done at its present speed. */
    long remainingMs(long nowMs) {
        if (isComplete()) {
            return 0;
        }
        double remainingMs = (COMPLETE_PERCENT - mLastPercent) / percentPerMs();
        long endsInMs = Math.round(Math.min(remainingMs, MAX_REMAINING_MS));
        return Math.max(0, endsInMs - (nowMs - mLastAtMs));
    }

    /** Returns the time that all of the run's work takes at its present speed. */
    long fullDurationMs() {
        return Math.round(COMPLETE_PERCENT / percentPerMs());
    }

    private int windowProgress() {
        return mLastPercent - mWindowStartPercent;
    }
}
