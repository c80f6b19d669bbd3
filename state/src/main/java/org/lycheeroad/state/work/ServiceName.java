package org.lycheeroad.state.work;

/** Names a service, a pool of workers that runs the jobs of the service's queues. */
public record ServiceName(String value) {
    @Override
    public String toString() {
        return value;
    }
}
