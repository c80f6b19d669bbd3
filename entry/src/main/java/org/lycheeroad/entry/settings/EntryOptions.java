package org.lycheeroad.entry.settings;

import com.github.rvesse.airline.SingleCommand;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.Parser;
import com.github.rvesse.airline.help.Help;
import com.github.rvesse.airline.parser.ParseResult;
import com.github.rvesse.airline.parser.errors.handlers.CollectAll;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.lycheeroad.coordination.routing.RouterSettings;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.EntryInfo;
import org.lycheeroad.state.topology.HostPort;

/**
 * Command-line flags of the entry daemon.
 *
 * <p>Each flag {@code --some-name} can also be set by the environment variable {@code
 * LYCHEEROAD_SOME_NAME}. If both are set, the flag takes precedence.
 */
@Command(name = "lycheeroad-entry", description = "Runs one entry of lycheeroad")
@Parser(errorHandler = CollectAll.class)
public final class EntryOptions {
    private static final String ENV_PREFIX = "LYCHEEROAD_";
    private static final String OPS_TOKEN_VARIABLE = "OPS_TOKEN";

    /** Variables read by the start script and the command-line client, possibly on the same VM. */
    private static final Set<String> FOREIGN_VARIABLES = Set.of("JAVA_OPTS", "ENTRY", "OPS");

    private static final int MAX_PORT = 65_535;

    /** 10 Gbit/s; a larger value indicates a wrong unit. */
    private static final int MAX_LINK_BYTES_PER_SECOND = 1_250_000_000;

    private static final int MIN_TOKEN_LENGTH = 16;
    private static final Set<String> LOG_LEVELS = Set.of("error", "warn", "info", "debug", "trace");

    @Option(
            name = "--entry-id",
            title = "entry-id",
            description = "Name of this entry, unique in the deployment")
    private String mEntryId;

    @Option(name = "--region", title = "region", description = "Region in which this entry runs")
    private String mRegion;

    @Option(
            name = "--failure-domain",
            title = "failure-domain",
            description = "Failure domain in which this entry runs")
    private String mFailureDomain;

    @Option(name = "--listen", title = "listen", description = "HOST:PORT for callers")
    private String mListen;

    @Option(
            name = "--peer-listen",
            title = "peer-listen",
            description = "HOST:PORT for other entries")
    private String mPeerListen;

    @Option(
            name = "--peer-address",
            title = "peer-address",
            description = "HOST:PORT that other entries use")
    private String mPeerAddress;

    @Option(name = "--ops-listen", title = "ops-listen", description = "HOST:PORT for operators")
    private String mOpsListen;

    @Option(
            name = "--peers",
            title = "peers",
            description = "ID/REGION/FAILURE-DOMAIN/HOST:PORT,... of others")
    private String mPeers;

    @Option(
            name = "--store",
            title = "store",
            description = "HOST:PORT of the store's HTTP/JSON gateway")
    private String mStore;

    @Option(name = "--vm-list", title = "vm-list", description = "HOST:PORT of the VM list")
    private String mVmList;

    @Option(
            name = "--entries",
            title = "entries",
            description = "Number of entries of the deployment")
    private String mEntries;

    @Option(
            name = "--link-bytes-per-second",
            title = "link-bytes-per-second",
            description = "Most bytes per second of requests between regions, in each direction")
    private String mLinkBytesPerSecond;

    @Option(
            name = "--connections-per-target",
            title = "connections-per-target",
            description = "Most connections to one target")
    private String mConnectionsPerTarget;

    @Option(
            name = "--log-level",
            title = "log-level",
            description = "error, warn, info, debug or trace")
    private String mLogLevel;

    @Option(
            name = "--vm-poll-ms",
            title = "vm-poll-ms",
            description = "Time between reads of the VM list")
    private String mVmPollMs;

    @Option(
            name = "--drain-wait-ms",
            title = "drain-wait-ms",
            description = "Time from not ready to closed listeners")
    private String mDrainWaitMs;

    @Option(
            name = "--drain-bound-ms",
            title = "drain-bound-ms",
            description = "Longest duration of a shutdown")
    private String mDrainBoundMs;

    @Option(
            name = "--max-requests",
            title = "max-requests",
            description = "Most requests in progress")
    private String mMaxRequests;

    @Option(
            name = "--buffer-bytes",
            title = "buffer-bytes",
            description = "Memory for buffered bodies and answers")
    private String mBufferBytes;

    @Option(
            name = "--event-ring",
            title = "event-ring",
            description = "Number of events kept in memory")
    private String mEventRing;

    /**
     * Parses and validates all settings.
     *
     * @param environment the environment variables
     * @throws SettingsException if settings are invalid; contains all problems
     */
    public static EntrySettings parse(List<String> arguments, Map<String, String> environment)
            throws SettingsException {
        ParseResult<EntryOptions> result =
                SingleCommand.singleCommand(EntryOptions.class).parseWithResult(arguments);
        SettingsReader reader = new SettingsReader(environment);
        result.getErrors().forEach(e -> reader.mProblems.add(e.getMessage()));
        EntrySettings settings = result.getCommand().toSettings(reader);
        reader.reportUnknownVariables();
        if (!reader.mProblems.isEmpty()) {
            throw new SettingsException(reader.mProblems);
        }
        return settings;
    }

    /** Returns the help text, which describes all flags. */
    public static String help() {
        ByteArrayOutputStream text = new ByteArrayOutputStream();
        try {
            Help.help(SingleCommand.singleCommand(EntryOptions.class).getCommandMetadata(), text);
        } catch (IOException e) {
            throw new UncheckedIOException("writing the help text to memory failed", e);
        }
        return text.toString(StandardCharsets.UTF_8);
    }

    private EntrySettings toSettings(SettingsReader reader) {
        EntryId entryId = reader.required("entry-id", mEntryId, EntryId::new);
        RegionId region = reader.required("region", mRegion, RegionId::new);
        FailureDomainId failureDomain =
                reader.required("failure-domain", mFailureDomain, FailureDomainId::new);
        HostPort callerListenAddress =
                reader.optional("listen", mListen, "0.0.0.0:7000", EntryOptions::parseAddress);
        HostPort peerListenAddress =
                reader.optional(
                        "peer-listen", mPeerListen, "0.0.0.0:7001", EntryOptions::parseAddress);
        HostPort operatorListenAddress =
                reader.optional(
                        "ops-listen", mOpsListen, "127.0.0.1:7002", EntryOptions::parseAddress);
        HostPort peerAddress =
                reader.optional(
                        "peer-address", mPeerAddress, "", EntryOptions::parseOptionalAddress);
        List<EntryInfo> peers = reader.optional("peers", mPeers, "", EntryOptions::parsePeers);
        HostPort storeAddress = reader.required("store", mStore, EntryOptions::parseAddress);
        HostPort vmListAddress = reader.required("vm-list", mVmList, EntryOptions::parseAddress);
        int entryCount = reader.integerInRange("entries", mEntries, 8, 1, 64);
        int linkBytesPerSecond =
                reader.integerInRange(
                        "link-bytes-per-second",
                        mLinkBytesPerSecond,
                        RouterSettings.DEFAULT_LINK_BYTES_PER_SECOND,
                        0,
                        MAX_LINK_BYTES_PER_SECOND);
        int maxConnectionsPerTarget =
                reader.integerInRange("connections-per-target", mConnectionsPerTarget, 8, 1, 1_024);
        String logLevel =
                reader.optional("log-level", mLogLevel, "info", EntryOptions::parseLogLevel);
        String operatorToken = reader.environmentValue(OPS_TOKEN_VARIABLE);
        if (!operatorToken.isEmpty() && operatorToken.length() < MIN_TOKEN_LENGTH) {
            reader.addProblem(
                    "ops-token", "must have at least " + MIN_TOKEN_LENGTH + " characters");
        }
        if (operatorListenAddress != null
                && operatorToken.isEmpty()
                && !isLoopback(operatorListenAddress.host())) {
            reader.addProblem("ops-listen", "must be a loopback address unless ops-token is set");
        }
        if (peerAddress == null
                && peerListenAddress != null
                && isWildcard(peerListenAddress.host())) {
            reader.addProblem(
                    "peer-address", "is needed because peer-listen is a wildcard address");
        }
        int notReadyDelayMs =
                reader.integerInRange("drain-wait-ms", mDrainWaitMs, 3_000, 0, 60_000);
        int shutdownTimeoutMs =
                reader.integerInRange("drain-bound-ms", mDrainBoundMs, 30_000, 100, 600_000);
        if (shutdownTimeoutMs <= notReadyDelayMs) {
            reader.addProblem("drain-bound-ms", "must be more than drain-wait-ms");
        }
        return new EntrySettings(
                entryId,
                region,
                failureDomain,
                callerListenAddress,
                peerListenAddress,
                operatorListenAddress,
                peerAddress == null ? peerListenAddress : peerAddress,
                peers,
                storeAddress,
                vmListAddress,
                entryCount,
                linkBytesPerSecond,
                maxConnectionsPerTarget,
                operatorToken,
                logLevel,
                reader.integerInRange("vm-poll-ms", mVmPollMs, 1_000, 50, 60_000),
                notReadyDelayMs,
                shutdownTimeoutMs,
                reader.integerInRange("max-requests", mMaxRequests, 1_024, 1, 4_096),
                reader.integerInRange("buffer-bytes", mBufferBytes, 6 << 20, 1 << 20, 1 << 30),
                reader.integerInRange("event-ring", mEventRing, 4_096, 16, 1 << 20));
    }

    private static HostPort parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("must have the form HOST:PORT: " + text);
        }
        int port = parseInteger(text.substring(colon + 1));
        if (port > MAX_PORT || port < 0) {
            throw new IllegalArgumentException("port must be at most " + MAX_PORT + ": " + text);
        }
        return new HostPort(text.substring(0, colon), port);
    }

    private static HostPort parseOptionalAddress(String text) {
        return text.isEmpty() ? null : parseAddress(text);
    }

    private static List<EntryInfo> parsePeers(String text) {
        List<EntryInfo> peers = new ArrayList<>();
        for (String peer : text.isBlank() ? new String[0] : text.split(",", -1)) {
            String[] parts = peer.trim().split("/", -1);
            if (parts.length != 4) {
                throw new IllegalArgumentException(
                        "must have the form ID/REGION/FAILURE-DOMAIN/HOST:PORT: " + peer);
            }
            peers.add(
                    new EntryInfo(
                            new EntryId(parts[0]),
                            new RegionId(parts[1]),
                            new FailureDomainId(parts[2]),
                            parseAddress(parts[3])));
        }
        return List.copyOf(peers);
    }

    private static String parseLogLevel(String text) {
        String logLevel = text.toLowerCase(Locale.ROOT);
        if (!LOG_LEVELS.contains(logLevel)) {
            throw new IllegalArgumentException("must be error, warn, info, debug or trace");
        }
        return logLevel;
    }

    private static boolean isLoopback(String host) {
        return host.equals("localhost") || host.equals("::1") || host.startsWith("127.");
    }

    private static boolean isWildcard(String host) {
        return host.equals("0.0.0.0") || host.equals("::");
    }

    private static int parseInteger(String text) {
        try {
            return Integer.parseInt(text.trim());
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("must be a whole number: " + text, e);
        }
    }

    private static final class SettingsReader {
        private final Map<String, String> mEnvironment;
        private final List<String> mProblems = new ArrayList<>();
        private final Set<String> mKnownVariables = new HashSet<>(FOREIGN_VARIABLES);

        SettingsReader(Map<String, String> environment) {
            mEnvironment = environment;
        }

        String environmentValue(String name) {
            mKnownVariables.add(name);
            return mEnvironment.getOrDefault(ENV_PREFIX + name, "").trim();
        }

        void addProblem(String name, String reason) {
            mProblems.add("--" + name + " (" + ENV_PREFIX + toVariableName(name) + "): " + reason);
        }

        <T> T required(String name, String flag, Function<String, T> parse) {
            String text = configuredText(name, flag);
            if (text.isEmpty()) {
                addProblem(name, "is missing");
                return null;
            }
            return parseOrReport(name, text, parse);
        }

        <T> T optional(String name, String flag, String defaultValue, Function<String, T> parse) {
            String text = configuredText(name, flag);
            return parseOrReport(name, text.isEmpty() ? defaultValue : text, parse);
        }

        int integerInRange(String name, String flag, int defaultValue, int min, int max) {
            Integer value =
                    optional(
                            name, flag, Integer.toString(defaultValue), EntryOptions::parseInteger);
            if (value == null) {
                return defaultValue;
            }
            if (value < min || value > max) {
                addProblem(name, "must be between " + min + " and " + max + ": " + value);
            }
            return value;
        }

        /**
         * Reports unknown variables, since a misspelled one would silently leave the default in
         * place.
         */
        void reportUnknownVariables() {
            mEnvironment.keySet().stream()
                    .filter(variable -> variable.startsWith(ENV_PREFIX))
                    .filter(
                            variable ->
                                    !mKnownVariables.contains(
                                            variable.substring(ENV_PREFIX.length())))
                    .sorted()
                    .forEach(variable -> mProblems.add(variable + ": no such setting"));
        }

        private String configuredText(String name, String flag) {
            String variable = environmentValue(toVariableName(name));
            return flag == null ? variable : flag.trim();
        }

        private <T> T parseOrReport(String name, String text, Function<String, T> parse) {
            try {
                return parse.apply(text);
            } catch (IllegalArgumentException e) {
                addProblem(name, e.getMessage());
                return null;
            }
        }

        private static String toVariableName(String name) {
            return name.toUpperCase(Locale.ROOT).replace('-', '_');
        }
    }
}
