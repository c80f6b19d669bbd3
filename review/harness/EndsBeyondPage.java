package review;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * Ten jobs of 70 small tasks run on one executor. The leader is killed shortly before they end, so
 * that the next one finds more ends than an executor lists at a time.
 */
final class EndsBeyondPage extends Case {
    private static final String IDS = "00000000000000d";
    private static final int JOBS = 10;
    private static final int TASKS_PER_JOB = 70;
    private static final int TASKS = JOBS * TASKS_PER_JOB;

    public static void main(String[] arguments) {
        main(arguments[0], new EndsBeyondPage());
    }

    @Override
    boolean play(Cluster cluster, Record record) throws IOException {
        cluster.writeConfig(new Cluster.Route("r-1", "/lohu930/", 1, 4, 3.0));
        for (int i = 1; i <= 3; i++) {
            cluster.addExecutor("i-" + i, "a", "r1-" + i, 128_000);
        }
        cluster.startDaemons(3);
        cluster.awaitLeader();
        Http.sleep(2_000);
        Ledger ledger = cluster.ledger();
        for (int i = 0; i < JOBS; i++) {
            cluster.submit(
                    "/lohu930/" + IDS + i,
                    "{\"spec\":\"ms=8000\",\"phases\":[{\"count\":"
                            + TASKS_PER_JOB
                            + ",\"cpu\":150,\"mem_mb\":256,\"estimate_ms\":8000}]}");
        }
        if (!ledger.awaitStarts(IDS, TASKS, 20_000)) {
            throw new IllegalStateException("only " + ledger.runsOf(IDS).size() + " tasks began");
        }
        long firstMs = ledger.runsOf(IDS).get(0).mStartMs;
        record.line("all tasks have begun, the first %d ms ago", record.nowMs() - firstMs);
        Http.sleep(Math.max(0, firstMs + 7_700 - record.nowMs()));
        if (TROUBLE) {
            cluster.kill(cluster.awaitLeader(), 1_000);
        }
        Http.sleep(25_000);
        Map<String, Ledger.Entry> done = new HashMap<>();
        int twice = 0;
        for (Ledger.Entry entry : ledger.runsOf(IDS)) {
            Ledger.Entry before = done.get(entry.mTask);
            // The end counts if it is taken note of, then or later.
            if (before != null && before.isNoted()) {
                twice++;
            }
            if (entry.mEnd.equals("done")) {
                done.put(entry.mTask, entry);
            }
        }
        record.line("%d tasks done, %d started again", done.size(), twice);
        return twice == 0;
    }
}
