package org.lycheeroad.transport.duty;

/**
 * Handles the messages and ticks of a {@link MessageLoop} on the thread of the loop.
 *
 * @param <M> the type of the messages
 */
public interface MessageLoopHandler<M> {
    /** Handles one message. */
    void handle(M message);

    /** Called periodically for work that depends on time. */
    void tick();

    /** Returns whether no work depends on time, so that ticks may be less frequent. */
    default boolean isIdle() {
        return false;
    }
}
