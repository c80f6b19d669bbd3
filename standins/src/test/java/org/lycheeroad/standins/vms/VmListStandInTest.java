package org.lycheeroad.standins.vms;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.vm.VmInfo;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.vm.VmListClient;

class VmListStandInTest {
    private static final VmInfo VM =
            new VmInfo("t1", "target", "127.0.0.1", 1, "r", "d", "k", "live", 0, 8, 64);

    private final MultiThreadIoEventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mHttp = new HttpClient(mGroup, 1_000, 1 << 20);
    private final VmListStandIn mList = new VmListStandIn(new HostPort("127.0.0.1", 0), 0);

    @BeforeEach
    void start() throws Exception {
        mList.start();
        mList.applyChange(new VmListStandIn.Change(List.of(VM), null, null, null));
    }

    @AfterEach
    void stop() {
        mList.stop();
        mGroup.shutdownGracefully();
    }

    /**
     * Guards against a client that misses a change, or loses its list, when a conditional read
     * returns no body.
     */
    @Test
    void conditionalReadsReturnEveryChange() throws Exception {
        VmListClient client = new VmListClient(mHttp, mList.address());
        awaitListed(client, "live");
        assertThat(client.fetchVms(2_000).get()).containsExactly(VM);
        mList.applyChange(new VmListStandIn.Change(null, null, "t1", null));
        awaitListed(client, "leaving");
    }

    /** Guards against sending the list again although it has not changed. */
    @Test
    void unchangedListIsNotSentAgain() throws Exception {
        awaitListed(new VmListClient(mHttp, mList.address()), "live");
        BufferedHttpResponse first = get(Map.of());
        assertThat(first.status()).isEqualTo(200);
        BufferedHttpResponse second = get(Map.of("If-None-Match", first.header("ETag")));
        assertThat(second.status()).isEqualTo(304);
        assertThat(second.text()).isEmpty();
    }

    private BufferedHttpResponse get(Map<String, String> headers) throws Exception {
        return mHttp.call(mList.address(), "GET", "/v1/vms", headers, new byte[0], 2_000).get();
    }

    private static void awaitListed(VmListClient client, String state) throws Exception {
        for (int i = 0; i < 200; i++) {
            List<VmInfo> vms = client.fetchVms(2_000).get();
            if (!vms.isEmpty() && vms.get(0).state().equals(state)) {
                return;
            }
            Thread.sleep(10);
        }
        throw new AssertionError("not listed as " + state);
    }
}
