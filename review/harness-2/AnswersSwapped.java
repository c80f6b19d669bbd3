import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** MIXED: two requests on one connection get each other's answers. */
final class AnswersSwapped extends Case {
    private static final String RUNNING_JOB = "5c0e7a21d94b5001";
    private static final String ENDED_JOB = "5c0e7a21d94b5002";

    /** platform_compact: watches hear nothing for a second, then the history is dropped. */
    private static final long DEAF_MS = 1_000;

    AnswersSwapped(Deployment deployment, boolean trouble) {
        super(deployment, trouble);
    }

    @Override
    protected boolean play() throws IOException {
        mDeployment.addExecutor("a", "r1-1");
        mDeployment.addExecutor("a", "r1-1");
        mDeployment.writeConfig(4);
        mDeployment.startDaemons(1);
        Deployment.Daemon daemon = mDeployment.leader();
        submit(daemon, ENDED_JOB, 300);
        require(
                await(
                        10_000,
                        () ->
                                daemon.call("GET", Deployment.PREFIX + ENDED_JOB, null)
                                        .body()
                                        .contains("completed")),
                "the first job does not end");
        if (mTrouble) {
            mRecord.add("trouble the store's watches hear nothing for %d ms", DEAF_MS);
            mDeployment.store.deafenWatches();
            Threads.after(
                    DEAF_MS,
                    () -> {
                        mRecord.add("trouble the store's history is dropped, its watches are cut");
                        mDeployment.store.forgetHistory();
                    });
        }
        submit(daemon, RUNNING_JOB, 60_000);
        Threads.sleep(300);
        boolean broken = false;
        try (Socket socket = Http.open(daemon.front, 3_000)) {
            String both = get(RUNNING_JOB) + get(ENDED_JOB);
            mRecord.add("sent    on one connection: GET %s, GET %s", RUNNING_JOB, ENDED_JOB);
            socket.getOutputStream().write(both.getBytes(StandardCharsets.UTF_8));
            InputStream in = socket.getInputStream();
            Http.Answer first = Http.read(in);
            mRecord.add("answer  to GET %s: %d %s", RUNNING_JOB, first.status(), first.body());
            Http.Answer second = Http.read(in);
            mRecord.add("answer  to GET %s: %d %s", ENDED_JOB, second.status(), second.body());
            boolean hasEnded =
                    mDeployment.ledger.runsOf(RUNNING_JOB).stream()
                            .anyMatch(run -> run.how().equals("done"));
            broken = first.body().contains("completed") && !hasEnded;
        }
        return broken;
    }

    private void submit(Deployment.Daemon daemon, String job, long workMs) throws IOException {
        String body =
                "{\"spec\":\"ms="
                        + workMs
                        + "\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,\"gpu\":1,"
                        + "\"estimate_ms\":"
                        + workMs
                        + "}]}";
        require(daemon.call("POST", Deployment.PREFIX + job, body).status() == 200, "refused");
    }

    private static String get(String job) {
        return Http.request(
                "GET", Deployment.HOST, Deployment.PREFIX + job, Deployment.KEY, null);
    }
}
