package org.lycheeroad.transport.duty;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a handler on a dedicated thread, which is fed by a bounded queue and a periodic tick.
 *
 * <p>Messages are handled one at a time in the order of acceptance, so that the handler needs no
 * locks.
 *
 * @param <M> the type of the messages
 */
public final class MessageLoop<M> {
    private static final Logger LOG = LoggerFactory.getLogger(MessageLoop.class);
    private static final long STOP_TIMEOUT_MS = 2_000;

    /** Queued by {@link #stop} to end the wait for the next tick. */
    private static final Object WAKE_UP = new Object();

    private final String mName;
    private final ArrayBlockingQueue<Object> mQueue;
    private final MessageLoopHandler<M> mHandler;
    private final long mTickIntervalNanos;
    private final long mIdleTickIntervalNanos;
    private final Thread mThread;
    private volatile boolean mStopping;

    /** Creates a loop with a constant tick interval; it is not started yet. */
    public MessageLoop(
            String name, int capacity, long tickIntervalMs, MessageLoopHandler<M> handler) {
        this(name, capacity, tickIntervalMs, tickIntervalMs, handler);
    }

    /**
     * Creates a loop that is not started yet.
     *
     * @param name the name, which becomes part of the thread name
     * @param capacity the maximum number of queued messages
     * @param tickIntervalMs the time between two ticks
     * @param idleTickIntervalMs the time between two ticks while the handler is idle
     */
    public MessageLoop(
            String name,
            int capacity,
            long tickIntervalMs,
            long idleTickIntervalMs,
            MessageLoopHandler<M> handler) {
        mName = name;
        mQueue = new ArrayBlockingQueue<>(capacity);
        mHandler = handler;
        mTickIntervalNanos = TimeUnit.MILLISECONDS.toNanos(tickIntervalMs);
        mIdleTickIntervalNanos = TimeUnit.MILLISECONDS.toNanos(idleTickIntervalMs);
        mThread = new Thread(this::run, "duty-" + name);
        mThread.setDaemon(true);
    }

    public void start() {
        mThread.start();
    }

    /** Stops accepting messages and waits at most 2 s until the queued ones are handled. */
    public void stop() {
        mStopping = true;
        // If the queue is full, the thread is not waiting and needs no wake-up.
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

    /**
     * Queues a message without blocking; returns false if the queue is full or the loop is
     * stopping.
     */
    public boolean offer(M message) {
        return !mStopping && mQueue.offer(message);
    }

    /** Returns the number of queued messages. */
    public int queueLength() {
        return mQueue.size();
    }

    private long tickIntervalNanos() {
        return mHandler.isIdle() ? mIdleTickIntervalNanos : mTickIntervalNanos;
    }

    @SuppressWarnings("unchecked") // All other objects come from offer.
    private void handle(Object message) {
        if (message != WAKE_UP) {
            mHandler.handle((M) message);
        }
    }

    private void run() {
        long lastTickNanos = System.nanoTime();
        while (!mStopping || !mQueue.isEmpty()) {
            try {
                long waitNanos =
                        Math.max(0, lastTickNanos + tickIntervalNanos() - System.nanoTime());
                Object message = mQueue.poll(waitNanos, TimeUnit.NANOSECONDS);
                if (message != null) {
                    handle(message);
                }
                if (System.nanoTime() - lastTickNanos >= tickIntervalNanos()) {
                    lastTickNanos = System.nanoTime();
                    mHandler.tick();
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            } catch (RuntimeException | StackOverflowError e) {
                // A stack overflow is caused by one message; the stack is usable again here.
                LOG.error("Message loop {}: handler failed", mName, e);
            }
        }
    }
}
