package review;

import java.io.IOException;

/**
 * A job with four steps in a row is accepted. Then a new version of the configuration drops its
 * route, and the leader is killed.
 */
final class DroppedRoute extends Case {
    private static final String ID = "00000000000000f1";
    private static final int STEPS = 4;

    public static void main(String[] arguments) {
        main(arguments[0], new DroppedRoute());
    }

    @Override
    boolean play(Cluster cluster, Record record) throws IOException {
        Cluster.Route kept = new Cluster.Route("r-1", "/lohu930/", 1, 4, 3.0);
        cluster.writeConfig(kept, new Cluster.Route("r-2", "/pule252/", 1, 4, 3.0));
        for (int i = 1; i <= 4; i++) {
            cluster.addExecutor("i-" + i, "a", "r1-" + i, 16_000);
        }
        cluster.startDaemons(3);
        cluster.awaitLeader();
        Http.sleep(2_000);
        Ledger ledger = cluster.ledger();
        StringBuilder phases = new StringBuilder();
        for (int i = 0; i < STEPS; i++) {
            phases.append(i == 0 ? "" : ",")
                    .append("{\"count\":2,\"cpu\":2000,\"mem_mb\":1024,\"estimate_ms\":3000")
                    .append(i == 0 ? "" : ",\"after\":[" + (i - 1) + "]")
                    .append('}');
        }
        cluster.submit("/pule252/" + ID, "{\"spec\":\"ms=3000\",\"phases\":[" + phases + "]}");
        if (!ledger.awaitStarts(ID, 2, 5_000)) {
            throw new IllegalStateException("the job has not begun");
        }
        cluster.writeConfig(kept);
        Http.sleep(1_000);
        if (TROUBLE) {
            cluster.kill(cluster.awaitLeader(), 1_000);
        }
        Http.sleep(40_000);
        int done = 0;
        for (int i = 0; i < STEPS; i++) {
            long ends =
                    ledger.runsOf(ID + ".0." + i + ".").stream()
                            .filter(entry -> entry.mEnd.equals("done"))
                            .count();
            record.line("step %d: %d of 2 tasks done", i, ends);
            done += ends == 2 ? 1 : 0;
        }
        return done == STEPS;
    }
}
