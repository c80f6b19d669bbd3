package review;

import java.io.IOException;

/**
 * A job with five occurrences comes while all executors are busy. When the first of them is free
 * again, the occurrence that can still end in time starts before those that are late already. Then
 * the leader is killed.
 */
final class SkippedOccurrence extends Case {
    private static final String SHORT_ID = "00000000000000b1";
    private static final String LONG_ID = "00000000000000b2";
    private static final String TIMED_ID = "00000000000000c1";
    private static final String TIMED = "/timed/" + TIMED_ID;
    private static final int OCCURRENCES = 5;
    private static final int INTERVAL_MS = 3_000;

    public static void main(String[] arguments) {
        main(arguments[0], new SkippedOccurrence());
    }

    private static String job(int ms, int count) {
        return "{\"spec\":\"ms="
                + ms
                + "\",\"phases\":[{\"count\":"
                + count
                + ",\"cpu\":16000,\"mem_mb\":256,\"estimate_ms\":"
                + ms
                + "}]}";
    }

    @Override
    boolean play(Cluster cluster, Record record) throws IOException {
        cluster.writeConfig(
                new Cluster.Route("r-busy", "/busy/", 0, 4, 1.5),
                new Cluster.Route("r-timed", "/timed/", 1, 4, 1.5));
        for (int i = 1; i <= 4; i++) {
            cluster.addExecutor("i-" + i, "a", "r1-" + i, 16_000);
        }
        cluster.startDaemons(3);
        cluster.awaitLeader();
        Http.sleep(2_000);
        Ledger ledger = cluster.ledger();
        // Each task takes a whole executor: one of them for 14 s, the other three for 28 s.
        cluster.submit("/busy/" + SHORT_ID, job(14_000, 1));
        cluster.submit("/busy/" + LONG_ID, job(28_000, 3));
        if (!ledger.awaitStarts(SHORT_ID, 1, 5_000) || !ledger.awaitStarts(LONG_ID, 3, 5_000)) {
            throw new IllegalStateException("the first jobs have not begun");
        }
        cluster.submit(
                TIMED,
                "{\"spec\":\"ms=2000\",\"phases\":[{\"count\":1,\"cpu\":16000,\"mem_mb\":256,"
                        + "\"estimate_ms\":2000}],\"repeat_count\":"
                        + OCCURRENCES
                        + ",\"start_at_ms\":"
                        + (System.currentTimeMillis() + 500)
                        + ",\"interval_ms\":"
                        + INTERVAL_MS
                        + "}");
        if (!ledger.awaitStarts(TIMED_ID, 1, 25_000)) {
            throw new IllegalStateException("no occurrence has begun");
        }
        Http.sleep(500);
        if (TROUBLE) {
            cluster.kill(cluster.awaitLeader(), 1_000);
        }
        // After 14 s all executors are idle; the occurrences take 2 s each.
        Http.sleep(50_000);
        String state = cluster.state(TIMED);
        int run = 0;
        for (int k = 0; k < OCCURRENCES; k++) {
            boolean done =
                    ledger.runsOf(TIMED_ID + "." + k + ".").stream()
                            .anyMatch(entry -> entry.mEnd.equals("done"));
            record.line("occurrence %d: %s", k, done ? "has run" : "HAS NOT RUN");
            run += done ? 1 : 0;
        }
        record.line("state %s, %d of %d occurrences have run", state, run, OCCURRENCES);
        return run == OCCURRENCES && state.equals("completed");
    }
}
