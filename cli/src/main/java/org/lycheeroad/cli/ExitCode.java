package org.lycheeroad.cli;

/** Exit codes of the command line. Scripts rely on the numbers. */
public enum ExitCode {
    OK(0),
    FAILED(1),
    USAGE(2),
    NOT_RUN(3),
    UNKNOWN(4);

    private final int mCode;

    ExitCode(int number) {
        mCode = number;
    }

    /** Returns the exit status of the process. */
    public int code() {
        return mCode;
    }

    /**
     * Returns the exit code for a request outcome or a job state; states that are not final map to
     * {@link #OK}.
     */
    static ExitCode fromOutcome(String outcome) {
        return switch (outcome.toLowerCase(java.util.Locale.ROOT).replace('_', '-')) {
            case "not-run" -> NOT_RUN;
            case "unknown" -> UNKNOWN;
            case "failed", "cancelled" -> FAILED;
            default -> OK;
        };
    }
}
