import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** LOST: a gang that has failed once is shown as failed, though it may fail twice. */
final class GangFailedTwice extends Case {
    private static final String JOB = "5c0e7a21d94b36f8";
    private static final int MAX_ATTEMPTS = 2;

    /** node_cut of servers: share 0.17 for 5.5 s at most; here one of 7. */
    private static final int EXECUTORS = 7;

    private static final long CUT_MS = 5_500;
    private static final long KILL_AFTER_MS = 2_000;
    private static final long WAIT_MS = 40_000;

    GangFailedTwice(Deployment deployment, boolean trouble) {
        super(deployment, trouble);
    }

    @Override
    protected boolean play() throws IOException {
        for (int i = 0; i < EXECUTORS; i++) {
            mDeployment.addExecutor("a", "r1-1");
        }
        mDeployment.writeConfig(MAX_ATTEMPTS);
        mDeployment.startDaemons(3);
        Deployment.Daemon leader = mDeployment.leader();
        Deployment.Daemon other =
                mDeployment.daemons.stream().filter(d -> d != leader).findFirst().orElseThrow();
        String body =
                "{\"spec\":\"gang=2 ms=400 fails=1\",\"phases\":[{\"count\":2,\"cpu\":1000,"
                        + "\"mem_mb\":1024,\"gpu\":8,\"estimate_ms\":400,\"gang\":true}]}";
        require(other.call("POST", Deployment.PREFIX + JOB, body).status() == 200, "not accepted");
        require(await(5_000, () -> mDeployment.ledger.runsOf(JOB).size() == 2), "gang not started");
        if (mTrouble) {
            Executor cut = mDeployment.ledger.runsOf(JOB).get(1).executor();
            mRecord.add("trouble %s is cut off for %d ms and runs on", cut.id(), CUT_MS);
            cut.setMode(Executor.Mode.CUT);
            Threads.after(
                    CUT_MS,
                    () -> {
                        mRecord.add("trouble %s is reachable again", cut.id());
                        cut.setMode(Executor.Mode.SOUND);
                    });
            Threads.after(
                    KILL_AFTER_MS,
                    () -> {
                        mRecord.add("trouble the leader %s is killed", leader.name);
                        leader.kill();
                    });
        }
        long endMs = mRecord.nowMs() + WAIT_MS;
        String state = "";
        while (mRecord.nowMs() < endMs) {
            Threads.sleep(500);
            state = other.call("GET", Deployment.PREFIX + JOB, null).body();
            if (state.contains("failed") || state.contains("completed")) {
                break;
            }
        }
        List<Ledger.Run> runs = mDeployment.ledger.runsOf(JOB);
        Set<Integer> failed =
                runs.stream()
                        .filter(r -> r.how().equals("failed"))
                        .map(Ledger.Run::attempt)
                        .collect(Collectors.toSet());
        mRecord.add(
                "shown   %s; attempts of the gang that failed: %s, max_attempts %d",
                state, failed, MAX_ATTEMPTS);
        return state.contains("failed") && failed.size() < MAX_ATTEMPTS;
    }
}
