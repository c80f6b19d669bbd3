import java.io.IOException;

/** MIXED: a job of which no task has started is missing in the count of pending jobs. */
final class PendingLost extends Case {
    private static final String JOB = "5c0e7a21d94b6001";

    /** srv_grey, hang: share 0.078 for 5.9 s; here one of 13. */
    private static final int OTHER_EXECUTORS = 12;

    private static final long HANG_MS = 5_900;

    /** visible_ms and 2 s. */
    private static final long COUNTED_AFTER_MS = 3_000 + 2_000;

    private static final long WATCH_MS = 8_000;
    private static final String KIND = "b";

    PendingLost(Deployment deployment, boolean trouble) {
        super(deployment, trouble);
    }

    @Override
    protected boolean play() throws IOException {
        for (int i = 0; i < OTHER_EXECUTORS; i++) {
            mDeployment.addExecutor("a", "r1-" + i / 8);
        }
        Executor special = mDeployment.addExecutor(KIND, "r1-1");
        mDeployment.writeConfig(4);
        mDeployment.startDaemons(2);
        Deployment.Daemon daemon = mDeployment.daemons.get(0);
        if (mTrouble) {
            mRecord.add("trouble %s answers no call, for %d ms", special.id(), HANG_MS);
            special.setMode(Executor.Mode.HANGS);
            Threads.after(
                    HANG_MS,
                    () -> {
                        mRecord.add("trouble %s is sound again", special.id());
                        special.setMode(Executor.Mode.SOUND);
                    });
        }
        String body =
                "{\"spec\":\"ms=500\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,"
                        + "\"gpu\":1,\"estimate_ms\":500,\"constraints\":\""
                        + KIND
                        + "\"}]}";
        require(daemon.call("POST", Deployment.PREFIX + JOB, body).status() == 200, "refused");
        long acceptedMs = mRecord.nowMs();
        boolean broken = false;
        while (mRecord.nowMs() < acceptedMs + WATCH_MS) {
            Threads.sleep(100);
            long sentMs = mRecord.nowMs();
            if (sentMs < acceptedMs + COUNTED_AFTER_MS - 500) {
                continue;
            }
            Http.Answer answer = daemon.call("GET", Deployment.PREFIX, null);
            boolean counted = sentMs > acceptedMs + COUNTED_AFTER_MS;
            boolean begun = !mDeployment.ledger.runsOf(JOB).isEmpty();
            if (counted && !begun && answer.status() == 200 && answer.body().contains(":0}")) {
                mRecord.add(
                        "judged  pending is 0, but a job accepted %d ms before has not begun",
                        sentMs - acceptedMs);
                broken = true;
            }
        }
        return broken;
    }
}
