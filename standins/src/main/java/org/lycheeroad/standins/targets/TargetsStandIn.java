package org.lycheeroad.standins.targets;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.standins.VmLocation;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/**
 * Hosts several targets, each on its own port. The stand-in's own address serves the recorded
 * executions and fault injection.
 */
public final class TargetsStandIn implements StandIn {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int SLOTS_PER_TARGET = 8;
    private static final int MAX_CONNECTIONS_PER_TARGET = 64;
    private static final int EVENT_LOOP_THREADS = 2;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(EVENT_LOOP_THREADS, NioIoHandler.newFactory());
    private final HttpServer mServer;
    private final ExecutionLog mExecutionLog = new ExecutionLog();
    private final VmLocation mLocation;
    private final String mHost;
    private final Map<String, TargetServer> mTargets = new TreeMap<>();

    /** Number of executions by request id and by body. */
    public record Counts(Map<String, Integer> byRequest, Map<String, Integer> byBody) {}

    /** Creates targets whose run times are sampled with the given seed. */
    public TargetsStandIn(HostPort listen, VmLocation location, int count, long seed) {
        mServer = new HttpServer(listen, mGroup, MAX_BODY_BYTES, this::handle);
        mLocation = location;
        mHost = listen.host();
        ServiceTimeSampler serviceTimes = new ServiceTimeSampler(seed);
        for (int i = 0; i < count; i++) {
            String id = location.idPrefix() + i;
            mTargets.put(
                    id,
                    new TargetServer(
                            id,
                            SLOTS_PER_TARGET,
                            MAX_CONNECTIONS_PER_TARGET,
                            mGroup,
                            serviceTimes,
                            mExecutionLog));
        }
    }

    @Override
    public void start() throws IOException {
        for (TargetServer target : mTargets.values()) {
            target.start(new HostPort(mHost, 0));
        }
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
        mTargets.values().forEach(TargetServer::stop);
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Returns the entries of the targets for the VM list. */
    public List<VmInfo> vms() {
        List<VmInfo> vms = new ArrayList<>();
        for (TargetServer target : mTargets.values()) {
            vms.add(
                    mLocation.liveVm(
                            target.id(),
                            "target",
                            mHost,
                            target.port(),
                            0,
                            SLOTS_PER_TARGET,
                            MAX_CONNECTIONS_PER_TARGET));
        }
        return vms;
    }

    /** Returns all executions that were started. */
    public List<Execution> executions() {
        return mExecutionLog.all();
    }

    /** Sets a fault of one target or all targets. */
    public void setFault(TargetFault fault) {
        mTargets.values().stream()
                .filter(t -> fault.target().equals("*") || fault.target().equals(t.id()))
                .forEach(t -> t.setFault(fault));
    }

    private void handle(HttpCall call) {
        switch (call.path()) {
            case "/admin/executions" -> call.respondJson(200, Json.write(counts()));
            case "/admin/runs" -> call.respondJson(200, Json.write(mExecutionLog.all()));
            case "/admin/fault" -> {
                try {
                    setFault(Json.read(call.text(), TargetFault.class));
                    call.respondJson(200, "{}");
                } catch (JsonException e) {
                    call.respondJson(400, Json.write(Map.of("reason", e.getMessage())));
                }
            }
            default -> call.respondJson(404, "{}");
        }
    }

    private Counts counts() {
        Map<String, Integer> byRequest = new TreeMap<>();
        Map<String, Integer> byBody = new TreeMap<>();
        for (Execution execution : mExecutionLog.all()) {
            byRequest.merge(execution.request(), 1, Integer::sum);
            byBody.merge(execution.body(), 1, Integer::sum);
        }
        return new Counts(byRequest, byBody);
    }
}
