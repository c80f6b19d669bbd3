package org.lycheeroad.standins.demo;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.IOException;
import java.util.List;
import org.lycheeroad.standins.HostPortList;
import org.lycheeroad.standins.StandInMain;
import org.lycheeroad.standins.workers.GangChecker;
import org.lycheeroad.state.topology.HostPort;

/**
 * Sends gangs and requests through all entries and compares the reported outcomes with the recorded
 * runs.
 */
@Command(name = "demo", description = "Drives the demo against running processes")
public final class DemoMain implements StandInMain.RunnableCommand {
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long REQUEST_INTERVAL_MS = 10;
    private static final long GANG_INTERVAL_MS = 40;

    /** Gangs that have not ended after this time count as failed. */
    private static final long GANG_TIMEOUT_MS = 30_000;

    private static final List<String> REGIONS = List.of("mazowsze", "mazowsze", "malopolska");

    @Option(name = "--entry", description = "Callers' addresses of the entries", title = "entry")
    @Required
    private String mEntries;

    @Option(
            name = "--targets",
            description = "Addresses of the target processes",
            title = "targets")
    @Required
    private String mTargets;

    @Option(
            name = "--workers",
            description = "Addresses of the worker processes",
            title = "workers")
    @Required
    private String mWorkers;

    @Option(name = "--requests", description = "Number of requests", title = "requests")
    private int mRequests = 600;

    @Option(name = "--gangs", description = "Number of gangs", title = "gangs")
    private int mGangs = 40;

    @Option(name = "--seed", description = "Seed of the load", title = "seed")
    private long mSeed = 1;

    @Override
    public void run() throws Exception {
        List<HostPort> entries = HostPortList.parse(mEntries);
        try (DemoClient client = new DemoClient()) {
            client.awaitReady(entries, READY_TIMEOUT_MS);
            System.out.println("demo: " + entries.size() + " entries are ready");
            GangLoadGenerator gangs =
                    new GangLoadGenerator(client, entries, REGIONS, "demo", mSeed);
            RequestLoadGenerator requests =
                    new RequestLoadGenerator(client, entries, "demo", mSeed);
            Thread submitThread =
                    new Thread(() -> gangs.submitAll(mGangs, GANG_INTERVAL_MS), "gangs");
            submitThread.start();
            requests.send(mRequests, REQUEST_INTERVAL_MS);
            System.out.println("demo: " + requests.sentCount() + " requests are answered");
            submitThread.join();
            gangs.awaitAll(GANG_TIMEOUT_MS);
            System.out.println("demo: " + gangs.acceptedCount() + " gangs have ended");
            boolean passed = checkAndReport(client, gangs, requests);
            if (!passed) {
                System.exit(1);
            }
        }
    }

    private boolean checkAndReport(
            DemoClient client, GangLoadGenerator gangs, RequestLoadGenerator requests)
            throws IOException, InterruptedException {
        List<String> violations =
                new GangChecker(client.taskRuns(HostPortList.parse(mWorkers)), gangs.doneJobs())
                        .violations();
        List<String> mismatches =
                requests.findMismatches(client.executionsByBody(HostPortList.parse(mTargets)));
        // The demo injects no faults, so even requests that are not repeatable must not end as
        // "unknown".
        long lostCount = requests.lostCount() + requests.unknownCount();
        violations.forEach(p -> System.out.println("demo: partial gang: " + p));
        gangs.failures().forEach(f -> System.out.println("demo: gang: " + f));
        requests.unexpectedResults().forEach(o -> System.out.println("demo: request: " + o));
        mismatches.forEach(m -> System.out.println("demo: request: " + m));
        System.out.printf(
                "gangs: %d accepted, %d run, %d partial;"
                        + " requests: %d sent, %d whole, %d not run, %d lost%n",
                gangs.acceptedCount(),
                gangs.doneJobs().size(),
                violations.size(),
                requests.sentCount(),
                requests.doneCount(),
                requests.notRunCount(),
                lostCount);
        return violations.isEmpty()
                && mismatches.isEmpty()
                && lostCount == 0
                && gangs.acceptedCount() > 0
                && gangs.doneJobs().size() == gangs.acceptedCount();
    }
}
