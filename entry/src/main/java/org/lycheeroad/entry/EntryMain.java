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

/** Starts one entry as a process. */
public final class EntryMain {
    private static final Logger LOG = LoggerFactory.getLogger(EntryMain.class);
    private static final int EXIT_INVALID_SETTINGS = 2;
    private static final int EXIT_FAILURE = 1;

    private EntryMain() {}

    /**
     * Runs until a termination signal.
     *
     * <p>Exit codes: 0 after a shutdown in which every request ended, 1 when the entry cannot start
     * or requests were left, 2 for bad settings.
     */
    @SuppressWarnings("SystemOut") // Settings are checked before the log is set up.
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
        EventLoopGroup requests = newEventLoopGroup("callers");
        EventLoopGroup control = newEventLoopGroup("control");
        HybridClock clock = new HybridClock();
        EventLog events = new EventLog(settings.entryId(), clock, settings.eventCapacity());
        EntryMetrics metrics = new EntryMetrics();
        ControlPlane plane =
                new StoreControlPlane(
                        controlSettings(settings), settings.peerListenAddress(), control, clock);
        EntryDaemon daemon =
                new EntryDaemon(
                        settings,
                        plane,
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
                        events,
                        metrics,
                        requests.next(),
                        control);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> shutDown(daemon), "shutdown"));
        try {
            daemon.start();
        } catch (IOException e) {
            LOG.error("Cannot start", e);
            Runtime.getRuntime().halt(EXIT_FAILURE);
        }
    }

    /** The exit code of a process that ends by a signal is set by halting in the hook. */
    private static void shutDown(EntryDaemon daemon) {
        boolean whole = daemon.stop();
        Runtime.getRuntime().halt(whole ? 0 : EXIT_FAILURE);
    }

    private static ControlSettings controlSettings(EntrySettings settings) {
        Set<RegionId> regions = new TreeSet<>();
        regions.add(settings.region());
        List<HostPort> peers = new ArrayList<>();
        for (EntryInfo peer : settings.peers()) {
            regions.add(peer.region());
            peers.add(peer.peer());
        }
        return new ControlSettings(
                settings.entryId(),
                settings.region(),
                settings.failureDomain(),
                settings.peerAddress(),
                peers,
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
