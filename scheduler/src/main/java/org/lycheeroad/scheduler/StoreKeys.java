package org.lycheeroad.scheduler;

import org.lycheeroad.state.id.JobId;

/** The scheduler's keys in the platform's metadata store. */
public final class StoreKeys {
    /** The key of the newest epoch number; never deleted. */
    public static final String EPOCH = "lycheeroad/epoch";

    /** The key of the current owner, attached to its lease. */
    public static final String OWNER = "lycheeroad/owner";

    /** The key of the record of silent workers, which the owner writes. */
    public static final String SILENT_WORKERS = "lycheeroad/silent-workers";

    /** The prefix of the keys of accepted jobs and their cancellations. */
    public static final String INTAKE_PREFIX = "lycheeroad/in/";

    /** The prefix of the keys of the jobs' progress, which the owner writes. */
    public static final String PROGRESS_PREFIX = "lycheeroad/progress/";

    private static final String JOB_SUFFIX = "/job";
    private static final String CANCELLATION_SUFFIX = "/cancel";

    private StoreKeys() {}

    /** Returns the key of an accepted job. */
    public static String jobKey(JobId id) {
        return INTAKE_PREFIX + id + JOB_SUFFIX;
    }

    /** Returns the key of a job's cancellation. */
    public static String cancellationKey(JobId id) {
        return INTAKE_PREFIX + id + CANCELLATION_SUFFIX;
    }

    /** Returns the key of a job's progress. */
    public static String progressKey(JobId id) {
        return PROGRESS_PREFIX + id;
    }

    /** Returns whether a key with the intake prefix is that of an accepted job. */
    public static boolean isJobKey(String key) {
        return key.endsWith(JOB_SUFFIX);
    }

    /** Returns whether a key with the intake prefix is that of a cancellation. */
    public static boolean isCancellationKey(String key) {
        return key.endsWith(CANCELLATION_SUFFIX);
    }

    /** Returns the job to which a key with the intake or the progress prefix belongs. */
    public static JobId jobIdOf(String key) {
        if (key.startsWith(PROGRESS_PREFIX)) {
            return new JobId(key.substring(PROGRESS_PREFIX.length()));
        }
        return new JobId(key.substring(INTAKE_PREFIX.length(), key.lastIndexOf('/')));
    }
}
