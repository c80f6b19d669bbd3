package org.lycheeroad.scheduler;

import org.lycheeroad.state.id.JobId;

/** The scheduler's keys in the platform's store. */
public final class StoreKeys {
    /** Holds the number of the newest epoch; never removed. */
    public static final String EPOCH = "lycheeroad/epoch";

    /** Holds the present owner under its lease. */
    public static final String OWNER = "lycheeroad/owner";

    /** Accepted jobs and their cancellations. */
    public static final String INTAKE_PREFIX = "lycheeroad/in/";

    /** What the owner keeps of each job. */
    public static final String PROGRESS_PREFIX = "lycheeroad/progress/";

    private static final String JOB_SUFFIX = "/job";
    private static final String CANCELLATION_SUFFIX = "/cancel";

    private StoreKeys() {}

    /** Returns the key of an accepted job. */
    public static String jobKey(JobId id) {
        return INTAKE_PREFIX + id + JOB_SUFFIX;
    }

    /** Returns the key that cancels a job. */
    public static String cancellationKey(JobId id) {
        return INTAKE_PREFIX + id + CANCELLATION_SUFFIX;
    }

    /** Returns the key of a job's progress. */
    public static String progressKey(JobId id) {
        return PROGRESS_PREFIX + id;
    }

    /** Returns whether an intake key holds a job. */
    public static boolean isJobKey(String key) {
        return key.endsWith(JOB_SUFFIX);
    }

    /** Returns whether an intake key holds a cancellation. */
    public static boolean isCancellationKey(String key) {
        return key.endsWith(CANCELLATION_SUFFIX);
    }

    /** Returns the job that a key of the intake or of progress is about. */
    public static JobId jobIdOf(String key) {
        if (key.startsWith(PROGRESS_PREFIX)) {
            return new JobId(key.substring(PROGRESS_PREFIX.length()));
        }
        return new JobId(key.substring(INTAKE_PREFIX.length(), key.lastIndexOf('/')));
    }
}
