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

/** Submits gangs of 1 to 32 accelerators through different entries and waits for their end. */
public final class GangLoadGenerator {
    private static final List<String> SHAPES =
            List.of(
                    "1x1@worker",
                    "1x2@worker",
                    "1x4@worker",
                    "1x8@worker",
                    "2x4@rack",
                    "2x8@rack",
                    "4x8@any");
    private static final List<String[]> TEAMS_AND_KINDS =
            List.of(
                    new String[] {"planner", "render"},
                    new String[] {"montaz", "match"},
                    new String[] {"booking", "forecast"},
                    new String[] {"archive", "review"});
    private static final int MIN_RUN_MS = 200;
    private static final int RUN_RANGE_MS = 1_300;
    private static final long SUBMIT_TIMEOUT_MS = 15_000;
    private static final int MAX_ATTEMPTS = 6;

    /**
     * Status of an entry that does not know whether the job was stored; callers retry with the same
     * idempotency key.
     */
    private static final int UNKNOWN_STATUS = 504;

    private static final long POLL_INTERVAL_MS = 100;

    private final DemoClient mClient;
    private final List<HostPort> mEntries;
    private final Random mRandom;
    private final String mKeyPrefix;
    private final List<String> mRegions;
    private final List<String> mAcceptedJobs = new ArrayList<>();
    private final Set<String> mDoneJobs = new HashSet<>();
    private final List<String> mFailures = new ArrayList<>();

    /**
     * Creates a load whose random choices are determined by the seed.
     *
     * @param prefix start of the idempotency keys, which keeps the keys of different loads distinct
     * @param regions the regions to choose from; listing a region several times raises its share
     */
    public GangLoadGenerator(
            DemoClient client,
            List<HostPort> entries,
            List<String> regions,
            String prefix,
            long seed) {
        mClient = client;
        mEntries = List.copyOf(entries);
        mRegions = List.copyOf(regions);
        mKeyPrefix = prefix;
        mRandom = new Random(seed);
    }

    /** Submits gangs one after the other, with a pause after each. */
    public void submitAll(int count, long pauseMs) {
        try {
            for (int i = 0; i < count; i++) {
                submitGang(i);
                Thread.sleep(pauseMs);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Waits until all accepted gangs have ended or the timeout has passed, and records their
     * results.
     */
    public void awaitAll(long timeoutMs) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMs);
        for (String job : mAcceptedJobs) {
            GangStatus status = awaitGang(job, deadlineNanos);
            if (status.state().equals(JobState.DONE.name())) {
                mDoneJobs.add(job);
            } else {
                mFailures.add(job + " " + status.state() + " " + status.reason());
            }
        }
    }

    /** Returns the number of accepted gangs. */
    public int acceptedCount() {
        return mAcceptedJobs.size();
    }

    /** Returns the jobs reported as done. */
    public Set<String> doneJobs() {
        return Set.copyOf(mDoneJobs);
    }

    /** Describes each gang that was not accepted or did not end as done. */
    public List<String> failures() {
        return List.copyOf(mFailures);
    }

    private void submitGang(int number) throws InterruptedException {
        String[] team = TEAMS_AND_KINDS.get(mRandom.nextInt(TEAMS_AND_KINDS.size()));
        int runMs = MIN_RUN_MS + mRandom.nextInt(RUN_RANGE_MS);
        GangRequest gang =
                new GangRequest(
                        team[0],
                        team[1],
                        mRegions.get(mRandom.nextInt(mRegions.size())),
                        SHAPES.get(number % SHAPES.size()),
                        false,
                        runMs,
                        "run-ms=" + runMs,
                        mKeyPrefix + "-gang-" + number);
        int entry = mRandom.nextInt(mEntries.size());
        String failure = "";
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            try {
                HostPort server = mEntries.get((entry + i) % mEntries.size());
                BufferedHttpResponse answer =
                        mClient.submitGang(server, gang, SUBMIT_TIMEOUT_MS).get();
                if (answer.status() == 202) {
                    mAcceptedJobs.add(DemoClient.read(answer.text(), GangStatus.class).job());
                    return;
                }
                failure = answer.status() + " " + answer.text();
                if (answer.status() != UNKNOWN_STATUS) {
                    break;
                }
            } catch (ExecutionException | IOException e) {
                failure = e.getMessage();
                Thread.sleep(POLL_INTERVAL_MS);
            }
        }
        mFailures.add("not accepted: " + failure);
    }

    private GangStatus awaitGang(String job, long deadlineNanos) throws InterruptedException {
        GangStatus status = new GangStatus(job, "", "no answer");
        int nextEntry = 0;
        while (System.nanoTime() - deadlineNanos < 0) {
            HostPort entry = mEntries.get(nextEntry++ % mEntries.size());
            try {
                status = DemoClient.read(mClient.get(entry, "/v1/gangs/" + job), GangStatus.class);
                if (JobState.valueOf(status.state()).isFinal()) {
                    return status;
                }
            } catch (IOException e) {
                status = new GangStatus(job, "", e.getMessage());
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
        return status;
    }
}
