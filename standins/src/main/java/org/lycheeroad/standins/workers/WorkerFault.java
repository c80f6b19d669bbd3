package org.lycheeroad.standins.workers;

/**
 * A fault to inject into one worker or all workers of a process.
 *
 * @param worker the id of the worker, or {@code *} for all workers of the process
 * @param mode {@code none}, {@code kill} (all tasks end and calls are not answered), {@code
 *     restart} (a new incarnation without tasks), {@code unreachable} (calls are not answered but
 *     tasks continue), {@code refuse} (orders are rejected), {@code fail-tasks} (tasks fail soon
 *     after their start) or {@code ignore-checkpoint} (checkpoint orders are accepted but nothing
 *     is saved)
 */
public record WorkerFault(String worker, String mode) {}
