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
import org.lycheeroad.standins.Place;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/** Hosts several targets, each on its own port; the address serves counts and faults. */
public final class TargetsStandIn implements StandIn {
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;
    private static final int THREADS = 2;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(THREADS, NioIoHandler.newFactory());
    private final HttpServer mServer;
    private final ExecutionLog mLog = new ExecutionLog();
    private final Place mPlace;
    private final String mHost;
    private final Map<String, Executor> mTargets = new TreeMap<>();

    /** The number of executions by request id and by body text. */
    public record Counts(Map<String, Integer> byRequest, Map<String, Integer> byBody) {}

    /** Creates targets whose run times are drawn from the given seed. */
    public TargetsStandIn(HostPort listen, Place place, int count, long seed) {
        mServer = new HttpServer(listen, mGroup, MAX_BODY_BYTES, this::handle);
        mPlace = place;
        mHost = listen.host();
        ServiceTimes times = new ServiceTimes(seed);
        for (int i = 0; i < count; i++) {
            String id = place.prefix() + i;
            mTargets.put(id, new Executor(id, SLOTS, CONNECTIONS, mGroup, times, mLog));
        }
    }

    @Override
    public void start() throws IOException {
        for (Executor target : mTargets.values()) {
            target.start(new HostPort(mHost, 0));
        }
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
        mTargets.values().forEach(Executor::stop);
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Returns the targets as the platform lists them. */
    public List<VmInfo> vms() {
        List<VmInfo> vms = new ArrayList<>();
        for (Executor target : mTargets.values()) {
            vms.add(mPlace.vm(target.id(), "target", mHost, target.port(), 0, SLOTS, CONNECTIONS));
        }
        return vms;
    }

    /** Returns every request that a target began to run. */
    public List<Execution> executions() {
        return mLog.all();
    }

    /** Sets a fault of one target or of all. */
    public void setFault(TargetFault fault) {
        mTargets.values().stream()
                .filter(t -> fault.target().equals("*") || fault.target().equals(t.id()))
                .forEach(t -> t.setFault(fault));
    }

    private void handle(HttpCall call) {
        switch (call.path()) {
            case "/admin/executions" -> call.respondJson(200, Json.write(counts()));
            case "/admin/runs" -> call.respondJson(200, Json.write(mLog.all()));
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
        for (Execution execution : mLog.all()) {
            byRequest.merge(execution.request(), 1, Integer::sum);
            byBody.merge(execution.body(), 1, Integer::sum);
        }
        return new Counts(byRequest, byBody);
    }
}
