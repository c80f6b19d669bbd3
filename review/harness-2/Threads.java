import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

/** Threads and timers of the stand-ins. */
final class Threads {
    private static final ScheduledExecutorService TIMERS =
            Executors.newScheduledThreadPool(4, daemons("timer"));

    private Threads() {}

    static ThreadFactory daemons(String name) {
        return task -> {
            Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }

    static void every(long periodMs, Runnable task) {
        TIMERS.scheduleAtFixedRate(guarded(task), periodMs, periodMs, TimeUnit.MILLISECONDS);
    }

    static void after(long delayMs, Runnable task) {
        TIMERS.schedule(guarded(task), delayMs, TimeUnit.MILLISECONDS);
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static Runnable guarded(Runnable task) {
        return () -> {
            try {
                task.run();
            } catch (RuntimeException e) {
                e.printStackTrace();
            }
        };
    }
}
