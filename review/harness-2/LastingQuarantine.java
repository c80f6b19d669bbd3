import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** LOST: tasks that last stay down long after the executor that failed them is sound again. */
final class LastingQuarantine extends Case {
    /** srv_grey, errors: share 0.085 for 6.5 s, all starts; here one of 13. */
    private static final int OTHER_EXECUTORS = 12;

    private static final long GREY_MS = 6_500;
    private static final long WATCH_MS = 40_000;
    private static final int JOBS = 5;
    private static final String KIND = "b";

    LastingQuarantine(Deployment deployment, boolean trouble) {
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
        long greyUntilMs = mRecord.nowMs() + GREY_MS;
        if (mTrouble) {
            mRecord.add("trouble %s fails all that it starts, for %d ms", special.id(), GREY_MS);
            special.setMode(Executor.Mode.FAILS_STARTS);
            Threads.after(
                    GREY_MS,
                    () -> {
                        mRecord.add("trouble %s is sound again", special.id());
                        special.setMode(Executor.Mode.SOUND);
                    });
        }
        List<LastingJudge> judges = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        List<Integer> statuses = Collections.synchronizedList(new ArrayList<>());
        for (int i = 0; i < JOBS; i++) {
            String job = String.format("5c0e7a21d94b3%03x", i);
            String body =
                    "{\"spec\":\"lasts\",\"phases\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":1024,"
                            + "\"gpu\":1,\"estimate_ms\":1000,\"long_running\":true,"
                            + "\"constraints\":\""
                            + KIND
                            + "\"}]}";
            Thread client =
                    new Thread(
                            () ->
                                    statuses.add(
                                            daemon.call("POST", Deployment.PREFIX + job, body)
                                                    .status()));
            client.start();
            clients.add(client);
            judges.add(
                    new LastingJudge(mDeployment, job, 1, executor -> executor.kind().equals(KIND)));
        }
        for (Thread client : clients) {
            Threads.join(client);
        }
        require(statuses.equals(Collections.nCopies(JOBS, 200)), "refused");
        long endMs = mRecord.nowMs() + WATCH_MS;
        while (mRecord.nowMs() < endMs) {
            Threads.sleep(100);
            judges.forEach(judge -> judge.look(mTrouble ? greyUntilMs : 0));
        }
        mRecord.add(
                "running at the end: %d of %d",
                judges.stream().filter(LastingJudge::isRunning).count(), JOBS);
        return judges.stream().anyMatch(LastingJudge::isBroken);
    }
}
