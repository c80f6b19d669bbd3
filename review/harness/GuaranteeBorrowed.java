package review;

import java.io.IOException;
import java.util.List;

/**
 * A tenant's urgent job that lasts takes all accelerators, also those guaranteed to another tenant,
 * which has no work at that time. Then the other tenant hands in an urgent job within its
 * guarantee. Without the disruption, the first job keeps to its own tenant's guarantee.
 */
final class GuaranteeBorrowed extends Case {
    private static final String BORROWER = "00000000000000a1";
    private static final String OWNER = "00000000000000b1";
    private static final String OWNER_KEY = "3hh2b9wu3fexd9dnn2ct";
    private static final int EXECUTORS = 4;
    private static final int RECLAIM_MS = 2_700;

    public static void main(String[] arguments) {
        main(arguments[0], new GuaranteeBorrowed());
    }

    @Override
    boolean play(Cluster cluster, Record record) throws IOException {
        cluster.writeConfig(
                List.of(
                        new Cluster.Tenant("kaje80", List.of(Cluster.API_KEY), 16),
                        new Cluster.Tenant("lomu21", List.of(OWNER_KEY), 16)),
                new Cluster.Route("r-1", "/lohu930/", 0, 4, 1.5));
        for (int i = 1; i <= EXECUTORS; i++) {
            cluster.addExecutor("i-" + i, "a", "r1-1", 128_000);
        }
        cluster.startDaemons(3);
        cluster.awaitLeader();
        Http.sleep(2_000);
        Ledger ledger = cluster.ledger();
        int tasks = TROUBLE ? EXECUTORS : EXECUTORS / 2;
        cluster.submit(
                "/lohu930/" + BORROWER,
                "{\"spec\":\"lasts\",\"phases\":[{\"count\":"
                        + tasks
                        + ",\"cpu\":15000,\"mem_mb\":31000,\"gpu\":8,\"estimate_ms\":2000,"
                        + "\"long_running\":true}]}");
        if (!ledger.awaitStarts(BORROWER, tasks, 5_000)) {
            throw new IllegalStateException("the first job has not begun");
        }
        Http.sleep(3_000);
        cluster.submit(
                OWNER_KEY,
                "/lohu930/" + OWNER,
                "{\"spec\":\"ms=2000\",\"phases\":[{\"count\":1,\"cpu\":15000,\"mem_mb\":31000,"
                        + "\"gpu\":8,\"estimate_ms\":2000}]}");
        long acceptedMs = record.nowMs();
        boolean inTime = ledger.awaitStarts(OWNER, 1, RECLAIM_MS);
        boolean later = ledger.awaitStarts(OWNER, 1, 40_000);
        record.line(
                "the guaranteed job has begun within %d ms: %s; within %d ms: %s; state %s",
                RECLAIM_MS,
                inTime,
                record.nowMs() - acceptedMs,
                later,
                cluster.state("/lohu930/" + OWNER));
        return inTime;
    }
}
