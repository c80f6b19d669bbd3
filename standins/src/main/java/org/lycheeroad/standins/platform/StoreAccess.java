package org.lycheeroad.standins.platform;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import org.lycheeroad.standins.StandIn;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpCall;
import org.lycheeroad.transport.http.HttpServer;

/**
 * The address at which one VM reaches the stand-in store, so that the store can turn this VM away
 * while it serves the others.
 */
public final class StoreAccess implements StandIn {
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final StoreServer mStore;
    private final HttpServer mServer;
    private volatile boolean mRefusing;
    private volatile boolean mSilent;

    StoreAccess(StoreServer store, HostPort listen, EventLoopGroup eventLoops) {
        mStore = store;
        mServer = new HttpServer(listen, eventLoops, MAX_BODY_BYTES, this::handle);
    }

    @Override
    public void start() throws IOException {
        mServer.start();
    }

    @Override
    public void stop() {
        mServer.stop();
    }

    @Override
    public HostPort address() {
        return mServer.address();
    }

    /** Sets whether the store refuses all calls of the VM. */
    public void setRefusing(boolean refusing) {
        mRefusing = refusing;
    }

    /** Sets whether the store leaves all calls of the VM unanswered. */
    public void setSilent(boolean silent) {
        mSilent = silent;
    }

    private void handle(HttpCall call) {
        if (mSilent) {
            return;
        }
        if (mRefusing) {
            call.respondJson(503, "{}");
        } else {
            mStore.handle(call);
        }
    }
}
