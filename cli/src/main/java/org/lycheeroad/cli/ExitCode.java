package org.lycheeroad.cli;

/** The exit codes of the command line. */
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

    /** Returns the number that the process ends with. */
    public int code() {
        return mCode;
    }

    /** Returns the code of an outcome or job state; states that are not final are ok. */
    static ExitCode fromOutcome(String outcome) {
        return switch (outcome.toLowerCase(java.util.Locale.ROOT).replace('_', '-')) {
            case "not-run" -> NOT_RUN;
            case "unknown" -> UNKNOWN;
            case "failed", "cancelled" -> FAILED;
            default -> OK;
        };
    }
}
