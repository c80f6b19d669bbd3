package org.lycheeroad.scheduler;

import org.lycheeroad.state.id.JobId;

/** The scheduler's keys in the platform's store. */
public final class StoreKeys {
    /** Holds the number of the newest epoch; never removed. */
    public static final String EPOCH = "lycheeroad/epoch";

    /** Holds the present owner under its lease. */
    public static final String OWNER = "lycheeroad/owner";

    /** Accepted jobs and their cancellations. */
    public static final String INTAKE = "lycheeroad/in/";

    /** What the owner keeps of each job. */
    public static final String PROGRESS = "lycheeroad/progress/";

    private static final String JOB = "/job";
    private static final String CANCEL = "/cancel";

    private StoreKeys() {}

    /** Returns the key of an accepted job. */
    public static String job(JobId id) {
        return INTAKE + id + JOB;
    }

    /** Returns the key that cancels a job. */
    public static String cancel(JobId id) {
        return INTAKE + id + CANCEL;
    }

    /** Returns the key of a job's progress. */
    public static String progress(JobId id) {
        return PROGRESS + id;
    }

    /** Returns whether an intake key holds a job. */
    public static boolean isJob(String key) {
        return key.endsWith(JOB);
    }

    /** Returns whether an intake key holds a cancellation. */
    public static boolean isCancel(String key) {
        return key.endsWith(CANCEL);
    }

    /** Returns the job that a key of the intake or of progress is about. */
    public static JobId jobOf(String key) {
        if (key.startsWith(PROGRESS)) {
            return new JobId(key.substring(PROGRESS.length()));
        }
        return new JobId(key.substring(INTAKE.length(), key.lastIndexOf('/')));
    }
}
