package org.lycheeroad.systemtests;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.stream.Collectors;
import org.lycheeroad.standins.VmLocation;
import org.lycheeroad.standins.demo.DemoClient;
import org.lycheeroad.standins.store.StoreFault;
import org.lycheeroad.standins.store.StoreStandIn;
import org.lycheeroad.standins.targets.Execution;
import org.lycheeroad.standins.targets.TargetsStandIn;
import org.lycheeroad.standins.vms.VmListStandIn;
import org.lycheeroad.standins.workers.GangChecker;
import org.lycheeroad.standins.workers.TaskRun;
import org.lycheeroad.standins.workers.WorkersStandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** A test cluster: platform stand-ins in this process, and each entry in a separate process. */
final class Cluster implements AutoCloseable {
    static final String TABLE =
            """
            team,work,kind,region,weight,limit,guarantee,deadline_ms
            planner,request,layout-check,mazowsze,4,,,10000
            planner,request,layout-check,malopolska,4,,,10000
            montaz,request,photo-match,mazowsze,3,,,10000
            montaz,request,photo-match,malopolska,3,,,10000
            booking,request,booking,mazowsze,4,,,10000
            booking,request,booking,malopolska,4,,,10000
            archive,request,safety-review,mazowsze,1,,,20000
            archive,request,safety-review,malopolska,1,,,20000
            planner,gang,render,mazowsze,4,,2x8@rack,
            planner,gang,render,malopolska,4,,,
            montaz,gang,match,mazowsze,3,,,
            montaz,gang,match,malopolska,3,,,
            booking,gang,forecast,mazowsze,2,,,
            booking,gang,forecast,malopolska,2,,,
            archive,gang,review,mazowsze,1,,,
            archive,gang,review,malopolska,1,,,
            """;

    private static final HostPort ANY_LOCAL_PORT = new HostPort("127.0.0.1", 0);
    private static final int VM_LIST_LAG_MS = 500;
    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long CALL_TIMEOUT_MS = 5_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * The next candidate port. Ports are below the ephemeral range, so that outgoing connections do
     * not take them before the entries bind them.
     */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(12_000 + (int) (ProcessHandle.current().pid() % 200) * 40);

    final StoreStandIn mStore = new StoreStandIn(ANY_LOCAL_PORT, 400, 2_000);
    final VmListStandIn mVmList = new VmListStandIn(ANY_LOCAL_PORT, VM_LIST_LAG_MS);
    final List<TargetsStandIn> mTargets = new ArrayList<>();
    final List<WorkersStandIn> mWorkers = new ArrayList<>();
    final List<EntryProcess> mEntries = new ArrayList<>();
    final DemoClient mClient = new DemoClient();

    /** The region and failure domain of each entry. */
    static final List<String> EIGHT_ENTRY_LOCATIONS =
            List.of(
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-b",
                    "mazowsze/warszawa-b",
                    "mazowsze/warszawa-b",
                    "malopolska/krakow-a",
                    "malopolska/krakow-a");

    static final List<String> FOUR_ENTRY_LOCATIONS = EIGHT_ENTRY_LOCATIONS.subList(1, 5);

    /** Starts a cluster and saves {@link #TABLE}. */
    static Cluster start(List<String> entryLocations) throws Exception {
        return start(entryLocations, (from, to) -> to.peerAddress());
    }

    /**
     * Starts a cluster whose entries connect to each other at the given addresses.
     *
     * @param route returns the address at which the first entry connects to the second; the address
     *     from an entry to itself is the one that it announces to its peers
     */
    static Cluster start(
            List<String> entryLocations, BiFunction<EntryProcess, EntryProcess, HostPort> route)
            throws Exception {
        Cluster cluster = new Cluster();
        try {
            cluster.startStandIns(entryLocations);
            cluster.startEntries(entryLocations, route);
            cluster.saveInitialTable();
            cluster.mClient.awaitReady(cluster.callerAddresses(), READY_TIMEOUT_MS);
            return cluster;
        } catch (Exception | AssertionError e) {
            cluster.close();
            throw e;
        }
    }

    /** Returns the addresses at which the entries accept requests from callers. */
    List<HostPort> callerAddresses() {
        return mEntries.stream().map(EntryProcess::callerAddress).toList();
    }

    EntryProcess entry(String id) {
        return mEntries.stream().filter(e -> e.id().equals(id)).findFirst().orElseThrow();
    }

    /** Returns the task runs of all workers. */
    List<TaskRun> runs() {
        return mWorkers.stream().flatMap(w -> w.runs().stream()).toList();
    }

    /** Returns violations of the rule that gangs run completely or not at all. */
    List<String> findPartialGangs(Set<String> doneJobs) {
        return new GangChecker(runs(), doneJobs).violations();
    }

    List<Execution> executions() {
        return mTargets.stream().flatMap(t -> t.executions().stream()).toList();
    }

    Map<String, Integer> executionsByBody() {
        Map<String, Integer> counts = new HashMap<>();
        executions().forEach(e -> counts.merge(e.body(), 1, Integer::sum));
        return counts;
    }

    void setStoreFault(String mode, long delayMs, int count) {
        mStore.setFault(new StoreFault(mode, delayMs, count));
    }

    /** Saves a table and returns the response. */
    BufferedHttpResponse saveTable(EntryProcess entry, String csv, long ifVersion)
            throws Exception {
        return mClient.call(
                        entry.opsAddress(),
                        "PUT",
                        "/ops/v1/table",
                        Map.of("If-Match", "\"" + ifVersion + "\""),
                        csv,
                        2 * CALL_TIMEOUT_MS)
                .get();
    }

    /**
     * Returns the version of the table in force on an entry, 0 if there is none, or -1 if the entry
     * does not respond.
     */
    long tableVersion(EntryProcess entry) throws InterruptedException {
        try {
            BufferedHttpResponse response =
                    mClient.call(
                                    entry.opsAddress(),
                                    "GET",
                                    "/ops/v1/table",
                                    Map.of(),
                                    "",
                                    CALL_TIMEOUT_MS)
                            .get();
            return response.status() == 200
                    ? Long.parseLong(response.header("ETag").replace("\"", ""))
                    : 0;
        } catch (java.util.concurrent.ExecutionException e) {
            return -1;
        }
    }

    JsonNode status(EntryProcess entry) throws IOException, InterruptedException {
        return MAPPER.readTree(mClient.get(entry.opsAddress(), "/ops/v1/status"));
    }

    /**
     * Returns the placement owner of a region, if there is one.
     *
     * @param except an entry that is skipped, for example because it is suspended; may be null
     */
    Optional<EntryProcess> findOwner(String region, EntryProcess except) {
        return mEntries.stream()
                .filter(e -> e != except && e.region().equals(region) && e.isAlive())
                .filter(this::ownsPlacement)
                .findFirst();
    }

    /** Waits until a region has a placement owner and returns it. */
    EntryProcess awaitOwner(String region) throws Exception {
        await(10_000, region + " has a placement owner", () -> findOwner(region, null).isPresent());
        return findOwner(region, null).orElseThrow();
    }

    private boolean ownsPlacement(EntryProcess entry) {
        try {
            return status(entry).path("placementToken").asLong() > 0;
        } catch (IOException e) {
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /** Waits until a condition holds and returns the elapsed time in milliseconds. */
    static long await(long timeoutMs, String description, Callable<Boolean> condition)
            throws Exception {
        long start = System.nanoTime();
        while (!condition.call()) {
            if (System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(timeoutMs)) {
                throw new AssertionError(
                        "condition not met within " + timeoutMs + " ms: " + description);
            }
            Thread.sleep(20);
        }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    }

    @Override
    public void close() throws InterruptedException {
        for (EntryProcess entry : mEntries) {
            if (entry.isAlive()) {
                entry.kill();
            }
        }
        mClient.close();
        mTargets.forEach(TargetsStandIn::stop);
        mWorkers.forEach(WorkersStandIn::stop);
        mVmList.stop();
        mStore.stop();
    }

    static synchronized int findFreePorts(int count) throws IOException {
        while (true) {
            int firstPort = NEXT_PORT.getAndAdd(count);
            if (arePortsFree(firstPort, count)) {
                return firstPort;
            }
        }
    }

    private static boolean arePortsFree(int firstPort, int count) throws IOException {
        for (int port = firstPort; port < firstPort + count; port++) {
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (java.net.BindException e) {
                return false;
            }
        }
        return true;
    }

    private void startStandIns(List<String> entryLocations) throws IOException {
        mStore.start();
        mVmList.start();
        List<String> locations = entryLocations.stream().distinct().toList();
        for (int i = 0; i < locations.size(); i++) {
            String[] location = locations.get(i).split("/", 2);
            TargetsStandIn targets =
                    new TargetsStandIn(
                            ANY_LOCAL_PORT,
                            new VmLocation("t-" + location[1] + "-", location[0], location[1], ""),
                            5,
                            i);
            WorkersStandIn workers =
                    new WorkersStandIn(
                            ANY_LOCAL_PORT,
                            new VmLocation(
                                    "w-" + location[1] + "-",
                                    location[0],
                                    location[1],
                                    "rack-" + i),
                            5,
                            8,
                            100);
            mTargets.add(targets);
            mWorkers.add(workers);
            targets.start();
            workers.start();
            mVmList.applyChange(new VmListStandIn.Change(null, targets.vms(), null, null));
            mVmList.applyChange(new VmListStandIn.Change(null, workers.vms(), null, null));
        }
    }

    private void startEntries(
            List<String> locations, BiFunction<EntryProcess, EntryProcess, HostPort> route)
            throws IOException {
        int firstPort = findFreePorts(3 * locations.size());
        for (int i = 0; i < locations.size(); i++) {
            String[] location = locations.get(i).split("/", 2);
            mEntries.add(
                    new EntryProcess("entry-" + i, location[0], location[1], firstPort + 3 * i));
        }
        for (EntryProcess entry : mEntries) {
            String peers =
                    mEntries.stream()
                            .filter(e -> e != entry)
                            .map(e -> e.peerFlagValue(route.apply(entry, e)))
                            .collect(Collectors.joining(","));
            entry.start(
                    List.of(
                            "--peers",
                            peers,
                            "--peer-address",
                            EntryProcess.format(route.apply(entry, entry)),
                            "--store",
                            EntryProcess.format(mStore.address()),
                            "--vm-list",
                            EntryProcess.format(mVmList.address()),
                            "--entries",
                            Integer.toString(locations.size()),
                            "--drain-wait-ms",
                            "500"));
        }
    }

    private void saveInitialTable() throws Exception {
        await(
                READY_TIMEOUT_MS,
                "the initial table is saved",
                () -> {
                    try {
                        return saveTable(mEntries.get(0), TABLE, 0).status() == 200;
                    } catch (java.util.concurrent.ExecutionException e) {
                        return false;
                    }
                });
    }
}
