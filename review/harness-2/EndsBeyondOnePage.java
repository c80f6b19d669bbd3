import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** TWICE: tasks that have ended done are started again, as their ends did not fit into one look. */
final class EndsBeyondOnePage extends Case {
    private static final int JOBS = 7;
    private static final int TASKS = 90;
    private static final long WORK_MS = 2_500;
    private static final long WATCH_MS = 20_000;

    EndsBeyondOnePage(Deployment deployment, boolean trouble) {
        super(deployment, trouble);
    }

    @Override
    protected boolean play() throws IOException {
        for (int i = 0; i < 4; i++) {
            mDeployment.addExecutor("a", "r1-1");
        }
        mDeployment.writeConfig(4);
        mDeployment.startDaemons(3);
        Deployment.Daemon leader = mDeployment.leader();
        Deployment.Daemon other =
                mDeployment.daemons.stream().filter(d -> d != leader).findFirst().orElseThrow();
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("5c0e7a21d94b8%03x", i);
            String body =
                    "{\"spec\":\"ms="
                            + WORK_MS
                            + "\",\"phases\":[{\"count\":"
                            + TASKS
                            + ",\"cpu\":200,\"mem_mb\":256,\"estimate_ms\":"
                            + WORK_MS
                            + "}]}";
            require(other.call("POST", Deployment.PREFIX + job, body).status() == 200, "refused");
            jobs.add(job);
        }
        require(await(10_000, () -> ends(jobs) > 0), "nothing ends");
        if (mTrouble) {
            mRecord.add("trouble the leader %s is killed; %d tasks run", leader.name,
                    mDeployment.ledger.active().size());
            leader.kill();
        }
        long endMs = mRecord.nowMs() + WATCH_MS;
        while (mRecord.nowMs() < endMs) {
            Threads.sleep(500);
        }
        Map<String, Ledger.Run> done = new HashMap<>();
        int again = 0;
        for (String job : jobs) {
            for (Ledger.Run run : mDeployment.ledger.runsOf(job)) {
                Ledger.Run before = done.get(run.task());
                if (before != null && before.endedMs() < run.startedMs() && before.isObserved()) {
                    again++;
                }
                if (run.how().equals("done")) {
                    done.put(run.task(), run);
                }
            }
        }
        mRecord.add(
                "judged  %d tasks were started again after an end done that was taken note of; no lease"
                        + " lapsed: %s",
                again, jobs.stream().allMatch(this::nothingLapsed));
        return again > 0 && jobs.stream().allMatch(this::nothingLapsed);
    }

    private boolean nothingLapsed(String job) {
        return mDeployment.ledger.runsOf(job).stream().noneMatch(r -> r.how().equals("lapsed"));
    }

    private int ends(List<String> jobs) {
        int ends = 0;
        for (String job : jobs) {
            for (Ledger.Run run : mDeployment.ledger.runsOf(job)) {
                ends += run.how().isEmpty() ? 0 : 1;
            }
        }
        return ends;
    }
}
