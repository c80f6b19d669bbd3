package org.lycheeroad.transport.peer;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.topology.HostPort;

class NettyPeerTransportTest {
    private static final int PEERS = 24;
    private static final int RESTARTS = 50;
    private static final long REQUEST_TIMEOUT_MS = 4_000;
    private static final int WAIT_TIMEOUT_MS = 15_000;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(2, NioIoHandler.newFactory());
    private final List<NettyPeerTransport> mTransports = new ArrayList<>();

    @AfterEach
    void stop() {
        mTransports.forEach(NettyPeerTransport::stop);
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against keeping a connection for minutes although the peer has stopped reading it. */
    @Test
    void reconnectsWhenPeerDoesNotReply() throws Exception {
        try (ServerSocket peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            peer.setSoTimeout(WAIT_TIMEOUT_MS);
            HostPort address = new HostPort("127.0.0.1", peer.getLocalPort());
            NettyPeerTransport transport = startTransport(0);
            transport.setPeers(Set.of(address));
            try (Socket unresponsive = peer.accept()) {
                CompletableFuture<PeerFrame> unanswered = requestWhenConnected(transport, address);
                try (Socket reconnected = peer.accept()) {
                    assertThat(unresponsive.getLocalPort()).isEqualTo(reconnected.getLocalPort());
                    assertThat(unanswered).failsWithin(1, TimeUnit.SECONDS);
                    CompletableFuture<PeerFrame> reply = requestWhenConnected(transport, address);
                    replyTo(reconnected);
                    assertThat(reply).succeedsWithin(2, TimeUnit.SECONDS);
                }
            }
        }
    }

    /**
     * Guards against connections that stay closed, or are opened twice, when all peers reconnect at
     * once.
     */
    @Test
    void allPeersReconnectOnceAfterAnOutage() throws Exception {
        NettyPeerTransport server = startTransport(freePort());
        HostPort address = server.address();
        List<NettyPeerTransport> peers = new ArrayList<>();
        for (int i = 0; i < PEERS; i++) {
            NettyPeerTransport transport = startTransport(0);
            transport.setPeers(Set.of(address));
            peers.add(transport);
        }
        awaitReplies(peers, address);
        server.stop();
        Thread.sleep(1_500);
        NettyPeerTransport restarted = startTransport(address.port());
        awaitReplies(peers, address);
        assertThat(restarted.inboundConnections()).isEqualTo(PEERS);
    }

    /**
     * Guards against a start that fails because the selector has not yet released the closed
     * listening socket.
     */
    @Test
    void bindsItsPortAgainRightAfterStop() throws Exception {
        int port = freePort();
        mGroup.forEach(loop -> loop.scheduleAtFixedRate(() -> occupyLoop(2), 0, 3, MILLISECONDS));
        for (int i = 0; i < RESTARTS; i++) {
            startTransport(port).stop();
        }
    }

    /**
     * Occupies the calling event loop, which delays its next selection, as other work of an entry
     * does.
     */
    private static void occupyLoop(long durationMs) {
        LockSupport.parkNanos(MILLISECONDS.toNanos(durationMs));
    }

    /** Repeats requests until every transport has received a reply. */
    private static void awaitReplies(List<NettyPeerTransport> peers, HostPort peer)
            throws Exception {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_TIMEOUT_MS);
        for (NettyPeerTransport transport : peers) {
            while (true) {
                try {
                    transport.request(peer, PeerFrame.newBuilder(), REQUEST_TIMEOUT_MS).get();
                    break;
                } catch (java.util.concurrent.ExecutionException e) {
                    assertThat(System.nanoTime() - deadlineNanos)
                            .as("no reply: %s", e)
                            .isNegative();
                    Thread.sleep(20);
                }
            }
        }
    }

    /**
     * Returns a port outside the ephemeral range, so that no outbound connection takes it before
     * the restart.
     */
    private static int freePort() throws IOException {
        int first = 20_000 + (int) (ProcessHandle.current().pid() % 1_000) * 10;
        for (int port = first; port < first + 10; port++) {
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (BindException e) {
                // The port is in use; try the next one.
            }
        }
        throw new IOException("no free port from " + first);
    }

    private NettyPeerTransport startTransport(int port) throws Exception {
        NettyPeerTransport transport =
                new NettyPeerTransport(new HostPort("127.0.0.1", port), mGroup);
        transport.start((frame, reply) -> reply.accept(PeerFrame.newBuilder()));
        mTransports.add(transport);
        return transport;
    }

    /** Repeats the request until the transport is connected, and returns the pending reply. */
    private static CompletableFuture<PeerFrame> requestWhenConnected(
            NettyPeerTransport transport, HostPort peer) throws Exception {
        for (int i = 0; i < 250; i++) {
            CompletableFuture<PeerFrame> reply =
                    transport.request(peer, PeerFrame.newBuilder(), WAIT_TIMEOUT_MS);
            if (!reply.isCompletedExceptionally()) {
                return reply;
            }
            Thread.sleep(20);
        }
        throw new AssertionError("no connection to " + peer);
    }

    /** Reads one frame and sends the reply to it. */
    private static void replyTo(Socket socket) throws Exception {
        PeerFrame frame = PeerFrame.parseDelimitedFrom(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        PeerFrame.newBuilder()
                .setCorrelation(frame.getCorrelation())
                .setReply(true)
                .build()
                .writeDelimitedTo(out);
        out.flush();
    }
}
