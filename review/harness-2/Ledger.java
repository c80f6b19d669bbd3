import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** All runs on all executors, and the work of the tasks, gangs included. */
final class Ledger {
    private static final long GANG_TIMEOUT_MS = 3_000;

    /** One run of a task. */
    static final class Run {
        private final Executor mExecutor;
        private final String mTask;
        private final int mAttempt;
        private final String mSpec;
        private final long mStartedMs;
        private long mEndedMs = Long.MAX_VALUE;
        private String mHow = "";
        private boolean mObserved;

        Run(Executor executor, String task, int attempt, String spec, long startedMs) {
            mExecutor = executor;
            mTask = task;
            mAttempt = attempt;
            mSpec = spec;
            mStartedMs = startedMs;
        }

        String task() {
            return mTask;
        }

        int attempt() {
            return mAttempt;
        }

        String how() {
            return mHow;
        }

        /** Whether its end has been taken note of. */
        boolean isObserved() {
            return mObserved;
        }

        Executor executor() {
            return mExecutor;
        }

        /** When it started and ended, in milliseconds since the start of the case. */
        long startedMs() {
            return mStartedMs;
        }

        long endedMs() {
            return mEndedMs;
        }

        int percent(long startupMs) {
            long ranMs = System.nanoTime() / 1_000_000 - mStartedNanosMs;
            long workMs = mSpec.contains("lasts") ? startupMs : number(mSpec, "ms=", 100);
            return (int) Math.min(mSpec.contains("lasts") ? 100 : 99, 100 * ranMs / workMs);
        }

        private final long mStartedNanosMs = System.nanoTime() / 1_000_000;
    }

    private final Record mRecord;
    private final List<Run> mRuns = new ArrayList<>();
    private final Map<String, List<Run>> mGangs = new HashMap<>();

    Ledger(Record record) {
        mRecord = record;
    }

    synchronized Run onStart(Executor executor, String task, int attempt, String spec, long token) {
        Run run = new Run(executor, task, attempt, spec, mRecord.nowMs());
        mRuns.add(run);
        mRecord.add("run     %s attempt %d starts on %s, epoch %d", task, attempt, executor.id(), token);
        return run;
    }

    synchronized void onEnd(Run run, String how) {
        run.mEndedMs = mRecord.nowMs();
        run.mHow = how;
        mRecord.add("run     %s attempt %d ends %s on %s", run.mTask, run.mAttempt, how, run.mExecutor.id());
        List<Run> gang = mGangs.get(gangOf(run));
        if (gang != null && !how.equals("done") && !how.equals("failed")) {
            breakGang(gang, run);
        }
    }

    synchronized void onObserved(Run run) {
        run.mObserved = true;
        mRecord.add("run     %s attempt %d: the end %s is taken note of", run.mTask, run.mAttempt, run.mHow);
    }

    /** Lets a run work; the members of a gang begin when all are present and end together. */
    synchronized void beginWork(Run run) {
        if (run.mSpec.contains("lasts")) {
            return;
        }
        long workMs = number(run.mSpec, "ms=", 100);
        int members = (int) number(run.mSpec, "gang=", 1);
        if (members == 1) {
            Threads.after(workMs, () -> run.mExecutor.end(run, outcome(run)));
            return;
        }
        List<Run> gang = mGangs.computeIfAbsent(gangOf(run), k -> new ArrayList<>());
        gang.add(run);
        if (gang.size() == members) {
            List<Run> all = List.copyOf(gang);
            Threads.after(workMs, () -> all.forEach(r -> r.mExecutor.end(r, outcome(r))));
        } else {
            Threads.after(
                    GANG_TIMEOUT_MS,
                    () -> {
                        if (gang.size() < members) {
                            run.mExecutor.end(run, "alone");
                        }
                    });
        }
    }

    private void breakGang(List<Run> gang, Run ended) {
        List<Run> others = new ArrayList<>(gang);
        others.remove(ended);
        Threads.after(1, () -> others.forEach(r -> r.mExecutor.end(r, "broken")));
    }

    /** The runs of the tasks of a job, in the order of their starts. */
    synchronized List<Run> runsOf(String job) {
        return mRuns.stream().filter(run -> run.mTask.startsWith(job + ".")).toList();
    }

    synchronized List<Run> active() {
        return mRuns.stream().filter(run -> run.mEndedMs == Long.MAX_VALUE).toList();
    }

    private static String outcome(Run run) {
        return run.mSpec.contains("fails=1") && run.mAttempt == 1 ? "failed" : "done";
    }

    private static String gangOf(Run run) {
        return run.mTask.substring(0, run.mTask.lastIndexOf('.')) + "#" + run.mAttempt;
    }

    private static long number(String spec, String name, long otherwise) {
        for (String word : spec.split(" ")) {
            if (word.startsWith(name)) {
                return Long.parseLong(word.substring(name.length()));
            }
        }
        return otherwise;
    }
}
