package review;

import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/**
 * A job of 700 small tasks runs on one executor. The leader is killed shortly before they end, so
 * that the next one finds more ends than an executor lists at a time.
 */
final class EndsBeyondPage extends Case {
    private static final String ID = "00000000000000d1";
    private static final int TASKS = 700;

    public static void main(String[] arguments) {
        main(arguments[0], new EndsBeyondPage());
    }

    @Override
    boolean play(Cluster cluster, Record record) throws IOException {
        cluster.writeConfig(new Cluster.Route("r-1", "/lohu930/", 1, 4, 3.0));
        cluster.addExecutor("i-1", "a", "r1-1", 128_000);
        cluster.startDaemons(3);
        cluster.awaitLeader();
        Http.sleep(2_000);
        Ledger ledger = cluster.ledger();
        cluster.submit(
                "/lohu930/" + ID,
                "{\"spec\":\"ms=6000\",\"phases\":[{\"count\":"
                        + TASKS
                        + ",\"cpu\":100,\"mem_mb\":256,\"estimate_ms\":6000}]}");
        if (!ledger.awaitStarts(ID, TASKS, 20_000)) {
            throw new IllegalStateException("only " + ledger.runsOf(ID).size() + " tasks began");
        }
        long firstMs = ledger.runsOf(ID).get(0).mStartMs;
        record.line("all tasks have begun, the first %d ms ago", record.nowMs() - firstMs);
        Http.sleep(Math.max(0, firstMs + 5_700 - record.nowMs()));
        if (TROUBLE) {
            cluster.kill(cluster.awaitLeader(), 1_000);
        }
        Http.sleep(25_000);
        String state = cluster.state("/lohu930/" + ID);
        Map<String, Ledger.Entry> done = new HashMap<>();
        int twice = 0;
        for (Ledger.Entry entry : ledger.runsOf(ID)) {
            Ledger.Entry before = done.get(entry.mTask);
            // The end counts if it is taken note of, then or later.
            if (before != null && before.isNoted()) {
                twice++;
            }
            if (entry.mEnd.equals("done")) {
                done.put(entry.mTask, entry);
            }
        }
        record.line("state %s, %d tasks done, %d started again", state, done.size(), twice);
        return twice == 0;
    }
}
