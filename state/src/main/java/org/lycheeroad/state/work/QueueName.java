package org.lycheeroad.state.work;

/** Names a queue of jobs. */
public record QueueName(String value) {
    @Override
    public String toString() {
        return value;
    }
}
