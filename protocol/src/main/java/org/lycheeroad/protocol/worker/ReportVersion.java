package org.lycheeroad.protocol.worker;

import org.lycheeroad.state.task.WorkerReport;

/**
 * The version of a worker's report.
 *
 * <p>A restarted worker has a new incarnation, so a version from before the restart never matches.
 */
public record ReportVersion(long incarnation, long sequence) {
    /** Returns the version of a report. */
    public static ReportVersion of(WorkerReport report) {
        return new ReportVersion(report.incarnation(), report.sequence());
    }

    /** Returns the version as an HTTP entity tag. */
    public String entityTag() {
        return "\"" + this + "\"";
    }

    @Override
    public String toString() {
        return incarnation + "." + sequence;
    }
}
