package org.lycheeroad.state.work;

/**
 * Identifies a run of a task.
 *
 * @param attempt the number of the run, which increases with each start; the members of a gang have
 *     the same number
 */
public record RunRef(TaskRef task, int attempt) {
    @Override
    public String toString() {
        return task + "#" + attempt;
    }
}
