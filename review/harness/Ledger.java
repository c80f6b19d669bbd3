package review;

import java.util.ArrayList;
import java.util.List;

/** Everything that the executors have run, in the order in which it happened. */
final class Ledger {
    /** One run of a task on one executor; times are in milliseconds since the start of the case. */
    static final class Entry {
        String mExecutor;
        String mTask;
        int mAttempt;
        long mStartMs;

        /** When the run ended; MAX_VALUE while it runs. */
        long mEndMs = Long.MAX_VALUE;

        String mEnd = "";
    }

    private final Record mRecord;
    private final List<Entry> mEntries = new ArrayList<>();

    Ledger(Record record) {
        mRecord = record;
    }

    void note(String format, Object... arguments) {
        mRecord.line(format, arguments);
    }

    synchronized void start(String executor, String task, int attempt, long token) {
        Entry entry = new Entry();
        entry.mExecutor = executor;
        entry.mTask = task;
        entry.mAttempt = attempt;
        entry.mStartMs = mRecord.nowMs();
        mEntries.add(entry);
        mRecord.line("%s starts %s run %d, token %d", executor, task, attempt, token);
    }

    synchronized void end(String executor, String task, int attempt, String how) {
        mRecord.line("%s ends %s run %d: %s", executor, task, attempt, how);
        for (int i = mEntries.size() - 1; i >= 0; i--) {
            Entry entry = mEntries.get(i);
            if (entry.mEndMs == Long.MAX_VALUE
                    && entry.mExecutor.equals(executor)
                    && entry.mTask.equals(task)
                    && entry.mAttempt == attempt) {
                entry.mEndMs = mRecord.nowMs();
                entry.mEnd = how;
                return;
            }
        }
    }

    synchronized void noted(String executor, String task, int attempt) {
        mRecord.line("%s forgets the end of %s run %d", executor, task, attempt);
    }

    /** Records that an executor's lease has expired, whether it had runs or not. */
    synchronized void lapse(String executor) {
        mRecord.line("%s: lease expired", executor);
    }

    synchronized List<Entry> entries() {
        return List.copyOf(mEntries);
    }

    /** Returns the runs of the tasks whose names begin so. */
    List<Entry> runsOf(String prefix) {
        return entries().stream().filter(entry -> entry.mTask.startsWith(prefix)).toList();
    }

    /** Returns how many runs of the tasks whose names begin so are under way. */
    long running(String prefix) {
        return runsOf(prefix).stream().filter(entry -> entry.mEndMs == Long.MAX_VALUE).count();
    }

    /** Waits until a number of runs of such tasks have begun; returns false after some time. */
    boolean awaitStarts(String prefix, int starts, long timeoutMs) {
        long untilMs = mRecord.nowMs() + timeoutMs;
        while (runsOf(prefix).size() < starts) {
            if (mRecord.nowMs() > untilMs) {
                return false;
            }
            Http.sleep(5);
        }
        return true;
    }
}
