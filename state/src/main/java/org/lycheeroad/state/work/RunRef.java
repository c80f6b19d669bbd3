package org.lycheeroad.state.work;

/**
 * Names one run of a task.
 *
 * @param attempt the number of the run, which rises with each start; members of a gang share it
 */
public record RunRef(TaskRef task, int attempt) {
    @Override
    public String toString() {
        return task + "#" + attempt;
    }
}
