package org.lycheeroad.standins.targets;

/**
 * A fault to inject into one target or all targets of a process.
 *
 * @param target the id of the target, or {@code *} for all targets of the process
 * @param mode {@code none}, {@code cut} (the connection closes in the middle of a chunked
 *     response), {@code short} (the body is shorter than its content length), {@code crossed} (the
 *     response carries the id of another attempt), {@code slow} (runs longer by the delay), {@code
 *     drain} (rejects as draining), {@code refuse} (rejects as busy) or {@code down} (connections
 *     are closed immediately)
 * @param delayMs the additional run time in milliseconds
 * @param count the number of requests to affect; 0 means all until the next fault is set
 */
public record TargetFault(String target, String mode, long delayMs, int count) {
    static final TargetFault NONE = new TargetFault("*", "none", 0, 0);
}
