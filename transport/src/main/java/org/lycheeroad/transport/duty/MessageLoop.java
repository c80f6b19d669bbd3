package org.lycheeroad.transport.duty;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs one duty on a thread of its own, fed by a bounded ring and a periodic tick.
 *
 * <p>Messages are handled one at a time in the order in which they were accepted, so that the
 * handler needs no locks.
 *
 * @param <M> the type of the messages
 */
public final class MessageLoop<M> {
    private static final Logger LOG = LoggerFactory.getLogger(MessageLoop.class);
    private static final long STOP_TIMEOUT_MS = 2_000;

    /** Ends the wait for the next tick at the stop. */
    private static final Object WAKE_UP = new Object();

    private final String mName;
    private final ArrayBlockingQueue<Object> mQueue;
    private final MessageLoopHandler<M> mHandler;
    private final long mTickIntervalNanos;
    private final long mIdleTickIntervalNanos;
    private final Thread mThread;
    private volatile boolean mStopping;

    /** Creates a duty that ticks at the same rate always; it is not started yet. */
    public MessageLoop(String name, int capacity, long tickMillis, MessageLoopHandler<M> handler) {
        this(name, capacity, tickMillis, tickMillis, handler);
    }

    /**
     * Creates a duty that is not started yet.
     *
     * @param capacity the number of messages that the ring holds
     * @param tickMillis the time between two ticks in milliseconds
     * @param idleTickMillis the same while the handler is idle
     */
    public MessageLoop(
            String name,
            int capacity,
            long tickMillis,
            long idleTickMillis,
            MessageLoopHandler<M> handler) {
        mName = name;
        mQueue = new ArrayBlockingQueue<>(capacity);
        mHandler = handler;
        mTickIntervalNanos = TimeUnit.MILLISECONDS.toNanos(tickMillis);
        mIdleTickIntervalNanos = TimeUnit.MILLISECONDS.toNanos(idleTickMillis);
        mThread = new Thread(this::run, "duty-" + name);
        mThread.setDaemon(true);
    }

    /** Starts the thread. */
    public void start() {
        mThread.start();
    }

    /** Stops after the messages that are in the ring; waits at most 2 s. */
    public void stop() {
        mStopping = true;
        // A full ring needs no wake-up.
        boolean unused = mQueue.offer(WAKE_UP);
        if (Thread.currentThread() == mThread) {
            return;
        }
        try {
            mThread.join(STOP_TIMEOUT_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Offers a message; returns false, without blocking, when the ring is full or stopping. */
    public boolean offer(M message) {
        return !mStopping && mQueue.offer(message);
    }

    /** Returns the number of messages waiting. */
    public int queueLength() {
        return mQueue.size();
    }

    private long tickIntervalNanos() {
        return mHandler.isIdle() ? mIdleTickIntervalNanos : mTickIntervalNanos;
    }

    @SuppressWarnings("unchecked") // Only offer adds other objects.
    private void handle(Object message) {
        if (message != WAKE_UP) {
            mHandler.handle((M) message);
        }
    }

    private void run() {
        long lastTick = System.nanoTime();
        while (!mStopping || !mQueue.isEmpty()) {
            try {
                long wait = Math.max(0, lastTick + tickIntervalNanos() - System.nanoTime());
                Object message = mQueue.poll(wait, TimeUnit.NANOSECONDS);
                if (message != null) {
                    handle(message);
                }
                if (System.nanoTime() - lastTick >= tickIntervalNanos()) {
                    lastTick = System.nanoTime();
                    mHandler.tick();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException e) {
                LOG.error("Duty {} failed on a message", mName, e);
            }
        }
    }
}
