package org.lycheeroad.standins.vms;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/** Stand-in for the platform's VM list, in which changes become visible after a lag. */
public final class VmListStandIn implements StandIn {
    private static final int MAX_BODY_BYTES = 4 << 20;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpServer mServer;
    private final long mLagMs;
    private final Map<String, VmInfo> mVms = new TreeMap<>();
    private List<VmInfo> mVisibleVms = List.of();

    /**
     * A change of the list; null fields have no effect.
     *
     * @param replace the complete new list
     * @param add VMs to add; a VM with the same id is replaced
     * @param leaving the id of a VM to mark as leaving
     * @param remove the id of a VM to remove
     */
    public record Change(
            Collection<VmInfo> replace, Collection<VmInfo> add, String leaving, String remove) {}

    /** Creates a list whose changes become visible after {@code lagMs} milliseconds. */
    public VmListStandIn(HostPort listen, long lagMs) {
        mServer = new HttpServer(listen, mGroup, MAX_BODY_BYTES, this::handle);
        mLagMs = lagMs;
    }

    @Override
    public void start() throws IOException {
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Changes the list; the change becomes visible after the lag. */
    public void applyChange(Change change) {
        mGroup.submit(() -> updateList(change)).awaitUninterruptibly();
    }

    private void handle(HttpCall call) {
        if (call.path().equals("/v1/vms")) {
            answerList(call);
            return;
        }
        if (!call.path().equals("/admin/vms")) {
            call.respondJson(404, "{}");
            return;
        }
        try {
            if (call.method().equals("POST")) {
                updateList(Json.read(call.text(), Change.class));
            }
            call.respondJson(200, Json.write(mVms.values()));
        } catch (JsonException e) {
            call.respondJson(400, Json.write(Map.of("reason", e.getMessage())));
        }
    }

    private static void answer(HttpCall call, int status, String tag, String body) {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.respond(status, "application/json", Map.of("ETag", tag), bytes);
    }

    private void answerList(HttpCall call) {
        String list = Json.write(mVisibleVms);
        String tag = "\"" + Integer.toHexString(list.hashCode()) + "\"";
        if (call.header("If-None-Match").equals(tag)) {
            answer(call, 304, tag, "");
        } else {
            answer(call, 200, tag, list);
        }
    }

    private void updateList(Change change) {
        if (change.replace() != null) {
            mVms.clear();
            change.replace().forEach(v -> mVms.put(v.id(), v));
        }
        if (change.add() != null) {
            change.add().forEach(v -> mVms.put(v.id(), v));
        }
        if (change.leaving() != null) {
            mVms.computeIfPresent(change.leaving(), (id, vm) -> withLeavingState(vm));
        }
        if (change.remove() != null) {
            mVms.remove(change.remove());
        }
        List<VmInfo> vms = List.copyOf(mVms.values());
        mGroup.schedule(() -> mVisibleVms = vms, mLagMs, TimeUnit.MILLISECONDS);
    }

    private static VmInfo withLeavingState(VmInfo vm) {
        return new VmInfo(
                vm.id(),
                vm.role(),
                vm.host(),
                vm.port(),
                vm.region(),
                vm.failureDomain(),
                vm.rack(),
                "leaving",
                vm.accelerators(),
                vm.slots(),
                vm.connections());
    }
}
