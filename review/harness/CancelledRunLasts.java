package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * A lasting job is cancelled. Its executor leaves the order to stop unanswered and carries it out
 * late. Meanwhile the leader is stopped with SIGTERM.
 */
final class CancelledRunLasts extends Case {
    private static final String ID = "00000000000000e1";
    private static final long LATE_MS = 4_000;

    public static void main(String[] arguments) {
        main(arguments[0], new CancelledRunLasts());
    }

    @Override
    boolean play(Cluster cluster, Record record) throws IOException {
        cluster.writeConfig(new Cluster.Route("r-1", "/lohu930/", 1, 4, 3.0));
        for (int i = 1; i <= 4; i++) {
            cluster.addExecutor("i-" + i, "a", "r1-" + i, 16_000);
        }
        cluster.startDaemons(3);
        cluster.awaitLeader();
        Http.sleep(2_000);
        Ledger ledger = cluster.ledger();
        cluster.submit(
                "/lohu930/" + ID,
                "{\"spec\":\"lasts\",\"phases\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":1024,"
                        + "\"estimate_ms\":2000,\"long_running\":true}]}");
        if (!ledger.awaitStarts(ID, 1, 5_000)) {
            throw new IllegalStateException("the job has not begun");
        }
        Http.sleep(3_000);
        // Only the first order to stop is late.
        AtomicBoolean late = new AtomicBoolean(TROUBLE);
        String worker = ledger.runsOf(ID).get(0).mExecutor;
        for (Executor executor : cluster.executors()) {
            if (executor.id().equals(worker)) {
                executor.setDelay(
                        (path, task) ->
                                path.equals("/run-stop") && late.getAndSet(false) ? LATE_MS : 0);
            }
        }
        String leader = cluster.awaitLeader();
        String other =
                cluster.daemons().stream().filter(name -> !name.equals(leader)).findFirst().get();
        int status = cluster.call(other, "DELETE", "/lohu930/" + ID, "").status();
        if (status != 200) {
            throw new IllegalStateException("the cancelling got " + status);
        }
        long cancelledMs = record.nowMs();
        Http.sleep(500);
        if (TROUBLE) {
            cluster.roll(leader, 500);
        }
        Http.sleep(45_000);
        String state = cluster.state("/lohu930/" + ID);
        long running = ledger.running(ID);
        record.line(
                "state %s, %d tasks at work %d ms after the cancelling",
                state, running, record.nowMs() - cancelledMs);
        return running == 0;
    }
}
