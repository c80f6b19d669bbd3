import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** LOST: a task that lasts isn't started again after a crash, as the rack of its data is full. */
final class LastingAffinity extends Case {
    /** srv_crash, gone: share 0.14; here one of 8. */
    private static final int NEAR = 2;

    private static final int FAR = 6;
    private static final int FAR_JOBS = 4;
    private static final int GPU = 8;
    private static final long WATCH_MS = 45_000;

    LastingAffinity(Deployment deployment, boolean trouble) {
        super(deployment, trouble);
    }

    @Override
    protected boolean play() throws IOException {
        for (int i = 0; i < NEAR; i++) {
            mDeployment.addExecutor("a", "r1-1");
        }
        for (int i = 0; i < FAR; i++) {
            mDeployment.addExecutor("a", "r1-2");
        }
        mDeployment.writeConfig(4);
        mDeployment.startDaemons(2);
        Deployment.Daemon daemon = mDeployment.daemons.get(0);
        List<String> jobs = new ArrayList<>();
        for (int i = 0; i < NEAR + FAR_JOBS; i++) {
            String job = String.format("5c0e7a21d94b4%03x", i);
            String body =
                    "{\"spec\":\"lasts\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,"
                            + "\"gpu\":"
                            + GPU
                            + ",\"estimate_ms\":600000,\"long_running\":true,\"affinity\":\""
                            + (i < NEAR ? "r1-1" : "r1-2")
                            + "\"}]}";
            require(daemon.call("POST", Deployment.PREFIX + job, body).status() == 200, "refused");
            jobs.add(job);
        }
        require(
                await(6_000, () -> mDeployment.ledger.active().size() == NEAR + FAR_JOBS),
                "not all jobs run");
        Threads.sleep(5_000);
        long calmSinceMs = mRecord.nowMs();
        if (mTrouble) {
            Executor crashed = mDeployment.ledger.runsOf(jobs.get(0)).get(0).executor();
            mRecord.add("trouble %s crashes and is lost for good", crashed.id());
            crashed.crash();
        }
        LastingJudge judge = new LastingJudge(mDeployment, jobs.get(0), GPU, executor -> true);
        long endMs = mRecord.nowMs() + WATCH_MS;
        while (mRecord.nowMs() < endMs) {
            Threads.sleep(100);
            judge.look(calmSinceMs);
        }
        mRecord.add("running at the end: %s", judge.isRunning());
        return judge.isBroken();
    }
}
