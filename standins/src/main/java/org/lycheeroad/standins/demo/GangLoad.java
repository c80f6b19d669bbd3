package org.lycheeroad.standins.demo;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.api.GangRequest;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Submits gangs of 1 to 32 accelerators through different entries and follows them. */
public final class GangLoad {
    private static final List<String> SHAPES =
            List.of(
                    "1x1@worker",
                    "1x2@worker",
                    "1x4@worker",
                    "1x8@worker",
                    "2x4@rack",
                    "2x8@rack",
                    "4x8@any");
    private static final List<String[]> TEAMS =
            List.of(
                    new String[] {"planner", "render"},
                    new String[] {"montaz", "match"},
                    new String[] {"booking", "forecast"},
                    new String[] {"archive", "review"});
    private static final int MIN_RUN_MILLIS = 200;
    private static final int RUN_SPREAD_MILLIS = 1_300;
    private static final long SUBMIT_MILLIS = 15_000;
    private static final int MAX_TRIES = 6;

    /** The entry does not know whether the job is stored; a caller repeats with the same key. */
    private static final int UNKNOWN_STATUS = 504;

    private static final long POLL_MILLIS = 100;

    private final Caller mCaller;
    private final List<HostPort> mEntries;
    private final Random mRandom;
    private final String mPrefix;
    private final List<String> mRegions;
    private final List<String> mAccepted = new ArrayList<>();
    private final Set<String> mDone = new HashSet<>();
    private final List<String> mFailures = new ArrayList<>();

    /**
     * Creates a load whose order is drawn from the seed.
     *
     * @param prefix makes its idempotency keys unique
     * @param regions the regions in which gangs run, each as often as it is listed
     */
    public GangLoad(
            Caller caller, List<HostPort> entries, List<String> regions, String prefix, long seed) {
        mCaller = caller;
        mEntries = List.copyOf(entries);
        mRegions = List.copyOf(regions);
        mPrefix = prefix;
        mRandom = new Random(seed);
    }

    /** Submits gangs one after the other. */
    public void submit(int count, long pauseMillis) {
        try {
            for (int i = 0; i < count; i++) {
                submitOne(i);
                Thread.sleep(pauseMillis);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all accepted gangs have ended, or for the given time. */
    public void await(long millis) throws InterruptedException {
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
        for (String job : mAccepted) {
            GangStatus status = awaitOne(job, end);
            if (status.state().equals(JobState.DONE.name())) {
                mDone.add(job);
            } else {
                mFailures.add(job + " " + status.state() + " " + status.reason());
            }
        }
    }

    /** Returns the number of accepted gangs. */
    public int accepted() {
        return mAccepted.size();
    }

    /** Returns the jobs reported as done. */
    public Set<String> done() {
        return Set.copyOf(mDone);
    }

    /** Returns what went wrong. */
    public List<String> failures() {
        return List.copyOf(mFailures);
    }

    private void submitOne(int number) throws InterruptedException {
        String[] team = TEAMS.get(mRandom.nextInt(TEAMS.size()));
        int millis = MIN_RUN_MILLIS + mRandom.nextInt(RUN_SPREAD_MILLIS);
        GangRequest gang =
                new GangRequest(
                        team[0],
                        team[1],
                        mRegions.get(mRandom.nextInt(mRegions.size())),
                        SHAPES.get(number % SHAPES.size()),
                        false,
                        millis,
                        "run-ms=" + millis,
                        mPrefix + "-gang-" + number);
        int entry = mRandom.nextInt(mEntries.size());
        String failure = "";
        for (int i = 0; i < MAX_TRIES; i++) {
            try {
                HostPort to = mEntries.get((entry + i) % mEntries.size());
                BufferedHttpResponse answer = mCaller.submit(to, gang, SUBMIT_MILLIS).get();
                if (answer.status() == 202) {
                    mAccepted.add(Caller.read(answer.text(), GangStatus.class).job());
                    return;
                }
                failure = answer.status() + " " + answer.text();
                if (answer.status() != UNKNOWN_STATUS) {
                    break;
                }
            } catch (ExecutionException | IOException e) {
                failure = e.getMessage();
                Thread.sleep(POLL_MILLIS);
            }
        }
        mFailures.add("not accepted: " + failure);
    }

    private GangStatus awaitOne(String job, long end) throws InterruptedException {
        GangStatus status = new GangStatus(job, "", "no answer");
        int next = 0;
        while (System.nanoTime() - end < 0) {
            HostPort entry = mEntries.get(next++ % mEntries.size());
            try {
                status = Caller.read(mCaller.get(entry, "/v1/gangs/" + job), GangStatus.class);
                if (JobState.valueOf(status.state()).isFinal()) {
                    return status;
                }
            } catch (IOException e) {
                status = new GangStatus(job, "", e.getMessage());
            }
            Thread.sleep(POLL_MILLIS);
        }
        return status;
    }
}
