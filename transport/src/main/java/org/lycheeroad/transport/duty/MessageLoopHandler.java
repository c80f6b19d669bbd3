package org.lycheeroad.transport.duty;

/**
 * Handles the messages and ticks of a {@link MessageLoop}, always on the duty's thread.
 *
 * @param <M> the type of the messages
 */
public interface MessageLoopHandler<M> {
    /** Handles one message. */
    void handle(M message);

    /** Handles the passing of time. */
    void tick();

    /** Returns whether nothing waits for time to pass, so that ticks may come less often. */
    default boolean isIdle() {
        return false;
    }
}
