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

/** The platform's stand-ins in this process and entries as processes of their own. */
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

    private static final HostPort ANY = new HostPort("127.0.0.1", 0);
    private static final int VM_LAG_MILLIS = 500;
    private static final long READY_MILLIS = 30_000;
    private static final long CALL_MILLIS = 5_000;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Ports below the ephemeral range, so that no outgoing connection takes them meanwhile. */
    private static final AtomicInteger NEXT_PORT =
            new AtomicInteger(12_000 + (int) (ProcessHandle.current().pid() % 200) * 40);

    final StoreStandIn mStore = new StoreStandIn(ANY, 400, 2_000);
    final VmListStandIn mVms = new VmListStandIn(ANY, VM_LAG_MILLIS);
    final List<TargetsStandIn> mTargets = new ArrayList<>();
    final List<WorkersStandIn> mWorkers = new ArrayList<>();
    final List<EntryProcess> mEntries = new ArrayList<>();
    final DemoClient mCaller = new DemoClient();

    /** Where entries run: region and failure domain, one per entry. */
    static final List<String> EIGHT =
            List.of(
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-a",
                    "mazowsze/warszawa-b",
                    "mazowsze/warszawa-b",
                    "mazowsze/warszawa-b",
                    "malopolska/krakow-a",
                    "malopolska/krakow-a");

    static final List<String> FOUR = EIGHT.subList(1, 5);

    /** Starts a cluster and saves the table. */
    static Cluster start(List<String> entryPlaces) throws Exception {
        return start(entryPlaces, (from, to) -> to.peers());
    }

    /**
     * Starts a cluster whose entries reach each other at given addresses.
     *
     * @param route returns the address at which the first entry reaches the second; entries tell
     *     each other the one from themselves to themselves
     */
    static Cluster start(
            List<String> entryPlaces, BiFunction<EntryProcess, EntryProcess, HostPort> route)
            throws Exception {
        Cluster cluster = new Cluster();
        try {
            cluster.startPlatform(entryPlaces);
            cluster.startEntries(entryPlaces, route);
            cluster.saveFirstTable();
            cluster.mCaller.awaitReady(cluster.callers(), READY_MILLIS);
            return cluster;
        } catch (Exception | AssertionError e) {
            cluster.close();
            throw e;
        }
    }

    /** Returns the callers' addresses of all entries. */
    List<HostPort> callers() {
        return mEntries.stream().map(EntryProcess::callers).toList();
    }

    EntryProcess entry(String id) {
        return mEntries.stream().filter(e -> e.id().equals(id)).findFirst().orElseThrow();
    }

    /** Returns every run of a task on all workers. */
    List<TaskRun> runs() {
        return mWorkers.stream().flatMap(w -> w.runs().stream()).toList();
    }

    /** Returns violations of the rule that gangs run wholly or not at all. */
    List<String> partialGangs(Set<String> doneJobs) {
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

    void storeFault(String mode, long delayMillis, int count) {
        mStore.setFault(new StoreFault(mode, delayMillis, count));
    }

    /** Saves a table and returns the answer. */
    BufferedHttpResponse saveTable(EntryProcess entry, String csv, long ifVersion)
            throws Exception {
        return mCaller.call(
                        entry.operators(),
                        "PUT",
                        "/ops/v1/table",
                        Map.of("If-Match", "\"" + ifVersion + "\""),
                        csv,
                        2 * CALL_MILLIS)
                .get();
    }

    /** Returns the version of the table in force on an entry, 0 for none and -1 for no answer. */
    long tableVersion(EntryProcess entry) throws InterruptedException {
        try {
            BufferedHttpResponse answer =
                    mCaller.call(
                                    entry.operators(),
                                    "GET",
                                    "/ops/v1/table",
                                    Map.of(),
                                    "",
                                    CALL_MILLIS)
                            .get();
            return answer.status() == 200
                    ? Long.parseLong(answer.header("ETag").replace("\"", ""))
                    : 0;
        } catch (java.util.concurrent.ExecutionException e) {
            return -1;
        }
    }

    JsonNode status(EntryProcess entry) throws IOException, InterruptedException {
        return MAPPER.readTree(mCaller.get(entry.operators(), "/ops/v1/status"));
    }

    /** Returns the placement owner of a region, other than one that must not be asked. */
    Optional<EntryProcess> findOwner(String region, EntryProcess except) {
        return mEntries.stream()
                .filter(e -> e != except && e.region().equals(region) && e.isAlive())
                .filter(this::ownsPlacement)
                .findFirst();
    }

    /** Returns the placement owner of a region once there is one. */
    EntryProcess owner(String region) throws Exception {
        await(10_000, region + " has an owner", () -> findOwner(region, null).isPresent());
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

    /** Waits until a condition holds; returns the milliseconds that it took. */
    static long await(long millis, String what, Callable<Boolean> condition) throws Exception {
        long start = System.nanoTime();
        while (!condition.call()) {
            if (System.nanoTime() - start > TimeUnit.MILLISECONDS.toNanos(millis)) {
                throw new AssertionError("not within " + millis + " ms: " + what);
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
        mCaller.close();
        mTargets.forEach(TargetsStandIn::stop);
        mWorkers.forEach(WorkersStandIn::stop);
        mVms.stop();
        mStore.stop();
    }

    static synchronized int freePorts(int count) throws IOException {
        while (true) {
            int first = NEXT_PORT.getAndAdd(count);
            if (isFree(first, count)) {
                return first;
            }
        }
    }

    private static boolean isFree(int first, int count) throws IOException {
        for (int port = first; port < first + count; port++) {
            try (ServerSocket socket =
                    new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                socket.setReuseAddress(true);
            } catch (java.net.BindException e) {
                return false;
            }
        }
        return true;
    }

    private void startPlatform(List<String> entryPlaces) throws IOException {
        mStore.start();
        mVms.start();
        List<String> places = entryPlaces.stream().distinct().toList();
        for (int i = 0; i < places.size(); i++) {
            String[] place = places.get(i).split("/", 2);
            TargetsStandIn targets =
                    new TargetsStandIn(
                            ANY,
                            new VmLocation("t-" + place[1] + "-", place[0], place[1], ""),
                            5,
                            i);
            WorkersStandIn workers =
                    new WorkersStandIn(
                            ANY,
                            new VmLocation("w-" + place[1] + "-", place[0], place[1], "rack-" + i),
                            5,
                            8,
                            100);
            mTargets.add(targets);
            mWorkers.add(workers);
            targets.start();
            workers.start();
            mVms.applyChange(new VmListStandIn.Change(null, targets.vms(), null, null));
            mVms.applyChange(new VmListStandIn.Change(null, workers.vms(), null, null));
        }
    }

    private void startEntries(
            List<String> places, BiFunction<EntryProcess, EntryProcess, HostPort> route)
            throws IOException {
        int first = freePorts(3 * places.size());
        for (int i = 0; i < places.size(); i++) {
            String[] place = places.get(i).split("/", 2);
            mEntries.add(new EntryProcess("entry-" + i, place[0], place[1], first + 3 * i));
        }
        for (EntryProcess entry : mEntries) {
            String peers =
                    mEntries.stream()
                            .filter(e -> e != entry)
                            .map(e -> e.asPeer(route.apply(entry, e)))
                            .collect(Collectors.joining(","));
            entry.start(
                    List.of(
                            "--peers",
                            peers,
                            "--peer-address",
                            EntryProcess.text(route.apply(entry, entry)),
                            "--store",
                            EntryProcess.text(mStore.address()),
                            "--vm-list",
                            EntryProcess.text(mVms.address()),
                            "--entries",
                            Integer.toString(places.size()),
                            "--drain-wait-ms",
                            "500"));
        }
    }

    private void saveFirstTable() throws Exception {
        await(
                READY_MILLIS,
                "the first table is saved",
                () -> {
                    try {
                        return saveTable(mEntries.get(0), TABLE, 0).status() == 200;
                    } catch (java.util.concurrent.ExecutionException e) {
                        return false;
                    }
                });
    }
}
