import java.io.IOException;
import java.util.List;

/** UNASKED: tasks of a cancelled job are started long after its cancelling was acknowledged. */
final class CancelUnheard extends Case {
    private static final String JOB = "5c0e7a21d94b7001";

    /** platform_down, silent: 6.3 s. */
    private static final long SILENCE_MS = 6_300;

    /** The leader has taken note of the job by then. */
    private static final long SILENT_AFTER_MS = 100;

    private static final long CANCEL_MS = 3_000;
    private static final long CONTACT_MS = 4_000;
    private static final long INTERVAL_MS = 200;
    private static final int REPEATS = 200;
    private static final long WATCH_MS = 8_000;

    CancelUnheard(Deployment deployment, boolean trouble) {
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
        String body =
                "{\"spec\":\"ms=50\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,"
                        + "\"gpu\":1,\"estimate_ms\":50}],\"repeat_count\":"
                        + REPEATS
                        + ",\"interval_ms\":"
                        + INTERVAL_MS
                        + ",\"start_at_ms\":"
                        + System.currentTimeMillis()
                        + "}";
        require(other.call("POST", Deployment.PREFIX + JOB, body).status() == 200, "not accepted");
        Threads.sleep(SILENT_AFTER_MS);
        long spokenMs = 0;
        if (mTrouble) {
            mRecord.add("trouble the store is silent for %d ms", SILENCE_MS);
            mDeployment.store.fallSilent();
            Threads.sleep(SILENCE_MS);
            mDeployment.store.speak();
            spokenMs = mRecord.nowMs();
            mRecord.add("trouble the store speaks again");
        } else {
            Threads.sleep(SILENCE_MS);
        }
        Http.Answer answer;
        int tries = 0;
        do {
            require(++tries < 40, "the cancelling is not acknowledged");
            Threads.sleep(100);
            answer = other.call("DELETE", Deployment.PREFIX + JOB, null);
        } while (answer.status() != 200);
        long ackMs = mRecord.nowMs();
        long endMs = ackMs + WATCH_MS;
        while (mRecord.nowMs() < endMs) {
            Threads.sleep(100);
        }
        long inTouchMs = mTrouble ? spokenMs + CONTACT_MS : 0;
        List<Ledger.Run> late =
                mDeployment.ledger.runsOf(JOB).stream()
                        .filter(run -> run.startedMs() > ackMs + CANCEL_MS)
                        .filter(run -> run.startedMs() > inTouchMs)
                        .toList();
        for (Ledger.Run run : late) {
            mRecord.add(
                    "judged  %s started %d ms after the cancelling was acknowledged, %d ms after the"
                            + " store was back",
                    run.task(), run.startedMs() - ackMs, run.startedMs() - spokenMs);
        }
        return !late.isEmpty();
    }
}
