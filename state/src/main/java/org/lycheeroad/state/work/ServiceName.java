package org.lycheeroad.state.work;

/** Names a service, the pool of workers that runs the jobs of its queues. */
public record ServiceName(String value) {
    @Override
    public String toString() {
        return value;
    }
}
