package org.lycheeroad.standins;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.standins.demo.DemoMain;
import org.lycheeroad.standins.store.StoreStandIn;
import org.lycheeroad.standins.targets.TargetsStandIn;
import org.lycheeroad.standins.vms.VmListStandIn;
import org.lycheeroad.standins.workers.WorkersStandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpClient;

/** Starts one stand-in process, which runs until a signal terminates it. */
@Cli(
        name = "standin",
        description = "Stand-ins for the parts of the platform",
        commands = {
            StandInMain.StoreCommand.class,
            StandInMain.VmListCommand.class,
            StandInMain.TargetsCommand.class,
            StandInMain.WorkersCommand.class,
            DemoMain.class
        })
public final class StandInMain {
    private StandInMain() {}

    /** Runs the command named by the arguments. */
    public static void main(String[] args) throws Exception {
        new com.github.rvesse.airline.Cli<RunnableCommand>(StandInMain.class).parse(args).run();
    }

    /** A command whose execution may throw any exception. */
    public interface RunnableCommand {
        /** Runs the command. */
        void run() throws Exception;
    }

    /** Options common to all stand-in processes. */
    public abstract static class ListenCommand implements RunnableCommand {
        @Option(
                name = "--listen",
                description = "Address, port 0 for a free port",
                title = "listen")
        protected String mListenAddress = "127.0.0.1:0";

        HostPort listenAddress() {
            return parseAddress(mListenAddress);
        }

        static HostPort parseAddress(String text) {
            return HostPortList.parse(text).get(0);
        }

        static void printAddress(StandIn standIn) {
            HostPort address = standIn.address();
            System.out.println("listening on " + address.host() + ":" + address.port());
        }
    }

    /** Options common to the processes that register VMs with the VM list. */
    public abstract static class VmCommand extends ListenCommand {
        private static final int CONNECT_TIMEOUT_MS = 1_000;
        private static final int CALL_TIMEOUT_MS = 10_000;

        @Option(
                name = "--vm-list",
                description = "Address of the VM list to add the VMs to",
                title = "vm-list")
        protected String mVmListAddress = "";

        @Option(name = "--count", description = "Number of VMs", title = "count")
        protected int mCount = 10;

        @Option(name = "--prefix", description = "Beginning of the ids", title = "prefix")
        @Required
        protected String mIdPrefix;

        @Option(name = "--region", description = "Region", title = "region")
        @Required
        protected String mRegion;

        @Option(name = "--failure-domain", description = "Failure domain", title = "failure-domain")
        @Required
        protected String mFailureDomain;

        @Option(name = "--rack", description = "Rack", title = "rack")
        protected String mRack = "";

        VmLocation location() {
            return new VmLocation(mIdPrefix, mRegion, mFailureDomain, mRack);
        }

        void registerVms(List<VmInfo> vms)
                throws IOException, InterruptedException, ExecutionException {
            if (mVmListAddress.isEmpty()) {
                return;
            }
            EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
            byte[] body = Json.write(Map.of("add", vms)).getBytes(StandardCharsets.UTF_8);
            int status =
                    new HttpClient(group, CONNECT_TIMEOUT_MS, 1 << 20)
                            .call(
                                    parseAddress(mVmListAddress),
                                    "POST",
                                    "/admin/vms",
                                    Map.of(),
                                    body,
                                    CALL_TIMEOUT_MS)
                            .get()
                            .status();
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            if (status != 200) {
                throw new IOException("the VM list answered with status " + status);
            }
        }
    }

    /** Starts the key-value store. */
    @Command(name = "store", description = "Key-value store with the etcd v3 JSON gateway")
    public static final class StoreCommand extends ListenCommand {
        @Option(
                name = "--writes-per-second",
                description = "Limit of writes",
                title = "writes-per-second")
        private int mWritesPerSecond = 400;

        @Option(
                name = "--reads-per-second",
                description = "Limit of reads",
                title = "reads-per-second")
        private int mReadsPerSecond = 2_000;

        @Override
        public void run() throws IOException {
            StandIn store = new StoreStandIn(listenAddress(), mWritesPerSecond, mReadsPerSecond);
            store.start();
            printAddress(store);
        }
    }

    /** Starts the VM list. */
    @Command(name = "vm-list", description = "List of VMs that lags behind")
    public static final class VmListCommand extends ListenCommand {
        @Option(name = "--lag-ms", description = "Lag in milliseconds", title = "lag-ms")
        private long mLagMs = 2_000;

        @Override
        public void run() throws IOException {
            StandIn list = new VmListStandIn(listenAddress(), mLagMs);
            list.start();
            printAddress(list);
        }
    }

    /** Starts targets. */
    @Command(name = "targets", description = "Executors that run requests")
    public static final class TargetsCommand extends VmCommand {
        @Option(name = "--seed", description = "Seed of the run times", title = "seed")
        private long mSeed = 1;

        @Override
        public void run() throws Exception {
            TargetsStandIn targets = new TargetsStandIn(listenAddress(), location(), mCount, mSeed);
            targets.start();
            registerVms(targets.vms());
            printAddress(targets);
        }
    }

    /** Starts workers. */
    @Command(name = "workers", description = "Workers that run tasks of gangs")
    public static final class WorkersCommand extends VmCommand {
        @Option(
                name = "--accelerators",
                description = "Accelerators of each worker",
                title = "accelerators")
        private int mAccelerators = 8;

        @Option(
                name = "--lag-ms",
                description = "Lag of the reports in milliseconds",
                title = "lag-ms")
        private long mReportLagMs = 100;

        @Override
        public void run() throws Exception {
            WorkersStandIn workers =
                    new WorkersStandIn(
                            listenAddress(), location(), mCount, mAccelerators, mReportLagMs);
            workers.start();
            registerVms(workers.vms());
            printAddress(workers);
        }
    }
}
