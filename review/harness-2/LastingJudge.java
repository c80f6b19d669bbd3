import java.util.function.Predicate;

/**
 * Judges the sentence of LOST on tasks that last: from 6 s after its last run, such a task has
 * nothing running for 3 s, there is capacity for it twice over, and these 3 s and the 4 s before are
 * calm.
 */
final class LastingJudge {
    private static final long AFTER_LAST_RUN_MS = 6_000;
    private static final long IDLE_MS = 3_000;
    private static final long CALM_BEFORE_MS = 4_000;

    private final Deployment mDeployment;
    private final String mJob;
    private final int mGpu;
    private final Predicate<Executor> mEligible;
    private long mIdleSinceMs = -1;
    private boolean mBroken;

    LastingJudge(Deployment deployment, String job, int gpu, Predicate<Executor> eligible) {
        mDeployment = deployment;
        mJob = job;
        mGpu = gpu;
        mEligible = eligible;
    }

    boolean isBroken() {
        return mBroken;
    }

    boolean isRunning() {
        return mDeployment.ledger.active().stream().anyMatch(r -> r.task().startsWith(mJob + "."));
    }

    /** Looks at the present moment; to be called several times a second. */
    void look(long calmSinceMs) {
        long nowMs = mDeployment.record.nowMs();
        long lastEndMs =
                mDeployment.ledger.runsOf(mJob).stream()
                        .mapToLong(Ledger.Run::endedMs)
                        .max()
                        .orElse(Long.MAX_VALUE);
        boolean idle =
                !isRunning()
                        && lastEndMs != Long.MAX_VALUE
                        && nowMs >= lastEndMs + AFTER_LAST_RUN_MS
                        && nowMs >= calmSinceMs + CALM_BEFORE_MS
                        && places() >= 2;
        if (!idle) {
            mIdleSinceMs = -1;
        } else if (mIdleSinceMs < 0) {
            mIdleSinceMs = nowMs;
        } else if (nowMs - mIdleSinceMs >= IDLE_MS && !mBroken) {
            mBroken = true;
            mDeployment.record.add(
                    "judged  %s: nothing of it has run for %d ms, it is calm since %d ms, and there"
                            + " is room for %d of its tasks",
                    mJob, nowMs - lastEndMs, nowMs - calmSinceMs, places());
        }
    }

    /** How many tasks of this size fit on eligible executors that are up. */
    private int places() {
        int places = 0;
        for (Executor executor : mDeployment.executors) {
            if (mEligible.test(executor) && !executor.isGone()) {
                int used = 0;
                for (Ledger.Run run : mDeployment.ledger.active()) {
                    used += run.executor() == executor ? mGpu : 0;
                }
                places += (executor.gpu() - used) / mGpu;
            }
        }
        return places;
    }
}
