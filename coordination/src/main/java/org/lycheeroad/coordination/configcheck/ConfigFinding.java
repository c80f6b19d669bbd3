package org.lycheeroad.coordination.configcheck;

/**
 * A mistake in a configuration.
 *
 * @param subject the entry that has the mistake
 * @param problem what is wrong, for an operator
 */
public record ConfigFinding(Severity severity, String subject, String problem) {
    /** Whether a configuration with the mistake may be sent. */
    public enum Severity {
        /** The configuration does not do what its author must have meant. */
        ERROR,
        /** The configuration may be meant so. */
        WARNING
    }

    public static ConfigFinding error(String subject, String problem) {
        return new ConfigFinding(Severity.ERROR, subject, problem);
    }

    public static ConfigFinding warning(String subject, String problem) {
        return new ConfigFinding(Severity.WARNING, subject, problem);
    }
}
