package review;

import java.io.IOException;
import java.util.List;

/**
 * An executor leaves as planned, with tasks of a rack-local step that waits for more room. Then the
 * leader is killed. The next one does nothing for so long that the leases of all executors expire.
 */
final class SchedulingStops extends Case {
    private static final String RACK_LOCAL = "00000000000000a1";
    private static final String SERVING = "00000000000000b1";
    private static final int MAY_MISS = 1;
    private static final int CONTACT_MS = 4_000;

    public static void main(String[] arguments) {
        main(arguments[0], new SchedulingStops());
    }

    @Override
    boolean play(Cluster cluster, Record record) throws IOException {
        cluster.setHoldMaxMs(10_000);
        cluster.writeConfig(
                new Cluster.Route("r-1", "/lohu930/", 2, 4, 3.0),
                new Cluster.Route("r-2", "/pule252/", 1, 4, 3.0));
        cluster.addExecutor("i-1", "b", "r1-1", 16_000);
        Executor leaving = cluster.addExecutor("i-2", "b", "r1-1", 16_000);
        for (int i = 3; i <= 6; i++) {
            cluster.addExecutor("i-" + i, "a", "r1-" + i, 16_000);
        }
        cluster.startDaemons(3);
        cluster.awaitLeader();
        Http.sleep(2_000);
        Ledger ledger = cluster.ledger();
        cluster.submit(
                "/pule252/" + SERVING,
                "{\"spec\":\"lasts\",\"phases\":[{\"count\":3,\"cpu\":2000,\"mem_mb\":1024,"
                        + "\"estimate_ms\":1000,\"long_running\":true,\"anti_affinity\":1,"
                        + "\"constraints\":\"a\",\"may_miss\":"
                        + MAY_MISS
                        + "}]}");
        // Four of these tasks fit on the two executors of their kind.
        cluster.submit(
                "/lohu930/" + RACK_LOCAL,
                "{\"spec\":\"ms=60000\",\"phases\":[{\"count\":5,\"cpu\":8000,\"mem_mb\":1024,"
                        + "\"estimate_ms\":60000,\"rack_local\":true,\"constraints\":\"b\"}]}");
        if (!ledger.awaitStarts(SERVING, 3, 5_000) || !ledger.awaitStarts(RACK_LOCAL, 4, 5_000)) {
            throw new IllegalStateException("the jobs have not begun");
        }
        Http.sleep(5_000);
        leaving.leave(3_500, 4_500);
        Http.sleep(300);
        long killedMs = record.nowMs();
        if (TROUBLE) {
            cluster.kill(cluster.awaitLeader(), 500);
        }
        Http.sleep(25_000);
        // The killed process is back within 1.5 s.
        long calmMs = killedMs + 1_500 + CONTACT_MS;
        List<Ledger.Entry> lapsed =
                ledger.runsOf(SERVING).stream()
                        .filter(entry -> entry.mEnd.equals("lapsed") && entry.mEndMs > calmMs)
                        .toList();
        for (Ledger.Entry entry : lapsed) {
            record.line(
                    "%s on %s lapsed %d ms after the kill",
                    entry.mTask, entry.mExecutor, entry.mEndMs - killedMs);
        }
        record.line("%d of 3 lasting tasks lapsed, %d may be away", lapsed.size(), MAY_MISS);
        return lapsed.size() <= MAY_MISS;
    }
}
