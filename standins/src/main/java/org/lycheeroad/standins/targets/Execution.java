package org.lycheeroad.standins.targets;

/**
 * The execution of one request on a target. Times are wall-clock milliseconds; {@code endMs} is 0
 * while the request is running.
 */
public record Execution(
        String target,
        String kind,
        String team,
        String request,
        String attempt,
        String body,
        long startMs,
        long endMs) {
    Execution endedAt(long millis) {
        return new Execution(target, kind, team, request, attempt, body, startMs, millis);
    }
}
