package org.lycheeroad.entry;

import ch.qos.logback.classic.Level;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.lycheeroad.coordination.placement.GangPlacementCore;
import org.lycheeroad.coordination.placement.PlacementSettings;
import org.lycheeroad.coordination.routing.FairRequestRouter;
import org.lycheeroad.coordination.routing.RouterSettings;
import org.lycheeroad.entry.control.ControlPlane;
import org.lycheeroad.entry.control.ControlSettings;
import org.lycheeroad.entry.control.StoreControlPlane;
import org.lycheeroad.entry.events.EntryMetrics;
import org.lycheeroad.entry.settings.EntryOptions;
import org.lycheeroad.entry.settings.EntrySettings;
import org.lycheeroad.entry.settings.SettingsException;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.time.HybridClock;
import org.lycheeroad.state.topology.EntryInfo;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.events.EventLog;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs one entry as a process. */
public final class EntryMain {
    private static final Logger LOG = LoggerFactory.getLogger(EntryMain.class);
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_FAILURE = 1;

    private EntryMain() {}

    /**
     * Runs the entry until the process receives a termination signal.
     *
     * <p>Exit codes: 0 after a shutdown in which all requests completed, 1 if the entry cannot
     * start or requests were still in progress at the end of the shutdown, 2 for invalid settings.
     */
    @SuppressWarnings("SystemOut") // Logging is configured only after the settings are parsed.
    public static void main(String[] arguments) {
        if (List.of(arguments).contains("--help")) {
            System.out.print(EntryOptions.help());
            return;
        }
        EntrySettings settings;
        try {
            settings = EntryOptions.parse(List.of(arguments), System.getenv());
        } catch (SettingsException e) {
            e.problems().forEach(problem -> System.err.println("lycheeroad-entry: " + problem));
            System.exit(EXIT_INVALID_SETTINGS);
            return;
        }
        setLogLevel(settings.logLevel());
        EventLoopGroup requestLoops = newEventLoopGroup("callers");
        EventLoopGroup controlLoops = newEventLoopGroup("control");
        HybridClock clock = new HybridClock();
        EventLog eventLog = new EventLog(settings.entryId(), clock, settings.eventCapacity());
        EntryMetrics metrics = new EntryMetrics();
        ControlPlane controlPlane =
                new StoreControlPlane(
                        controlSettings(settings),
                        settings.peerListenAddress(),
                        controlLoops,
                        clock);
        EntryDaemon daemon =
                new EntryDaemon(
                        settings,
                        controlPlane,
                        new GangPlacementCore(PlacementSettings.defaults(settings.region())),
                        new FairRequestRouter(
                                new RouterSettings(
                                        settings.entryId(),
                                        settings.region(),
                                        settings.failureDomain(),
                                        settings.entryCount(),
                                        settings.linkBytesPerSecond(),
                                        RouterSettings.DEFAULT_MAX_QUEUED_PER_TEAM,
                                        RouterSettings.DEFAULT_MAX_QUEUED),
                                System.nanoTime()),
                        eventLog,
                        metrics,
                        requestLoops.next(),
                        controlLoops);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
        try {
            daemon.start();
        } catch (IOException e) {
            LOG.error("Entry could not start", e);
            Runtime.getRuntime().halt(EXIT_FAILURE);
        }
    }

    /**
     * Stops the daemon and sets the exit code.
     *
     * <p>After a signal, the exit code can only be set by halting the JVM in the shutdown hook.
     */
    private static void shutDown(EntryDaemon daemon) {
        boolean allCompleted = daemon.stop();
        Runtime.getRuntime().halt(allCompleted ? 0 : EXIT_FAILURE);
    }

    private static ControlSettings controlSettings(EntrySettings settings) {
        Set<RegionId> regions = new TreeSet<>();
        regions.add(settings.region());
        List<HostPort> peerAddresses = new ArrayList<>();
        for (EntryInfo peer : settings.peers()) {
            regions.add(peer.region());
            peerAddresses.add(peer.peerAddress());
        }
        return new ControlSettings(
                settings.entryId(),
                settings.region(),
                settings.failureDomain(),
                settings.peerAddress(),
                peerAddresses,
                settings.storeAddress(),
                settings.entryCount(),
                settings.linkBytesPerSecond(),
                System.currentTimeMillis(),
                List.copyOf(regions));
    }

    private static EventLoopGroup newEventLoopGroup(String name) {
        return new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name), NioIoHandler.newFactory());
    }

    private static void setLogLevel(String level) {
        ((ch.qos.logback.classic.Logger) LoggerFactory.getLogger(Logger.ROOT_LOGGER_NAME))
                .setLevel(Level.toLevel(level));
    }
}
