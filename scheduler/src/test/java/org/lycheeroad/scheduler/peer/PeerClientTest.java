package org.lycheeroad.scheduler.peer;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.scheduler.config.Gzip;
import org.lycheeroad.scheduler.peer.PeerClient.ConfigReplies;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.http.HttpHandler;
import org.lycheeroad.transport.http.HttpServer;

class PeerClientTest {
    private static final HostPort ANY_PORT = new HostPort("127.0.0.1", 0);
    private static final ByteString CONFIG = ByteString.copyFromUtf8("version 2");
    private static final HttpHandler SILENT = call -> {};
    private static final HttpHandler UNCHANGED =
            call -> call.respond(204, "text/plain", Map.of(), new byte[0]);
    private static final HttpHandler CHANGED =
            call ->
                    call.respond(
                            200, "application/gzip", Map.of(), Gzip.compress(CONFIG).toByteArray());

    private static final HttpHandler CONFIRMED =
            call ->
                    call.respond(
                            204,
                            "text/plain",
                            Map.of(PeerClient.CONFIRMED_HEADER, PeerClient.CONFIRMED),
                            new byte[0]);

    private final EventLoopGroup mEventLoops =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final List<HttpServer> mPeers = new ArrayList<>();

    @AfterEach
    void tearDown() {
        mPeers.forEach(HttpServer::stop);
        mEventLoops.shutdownGracefully(0, 100, TimeUnit.MILLISECONDS);
    }

    @Nested
    class NewerConfigs {
        /** The time after which a peer counts as silent, in milliseconds. */
        private static final long PEER_TIMEOUT_MS = 700;

        /**
         * Guards against calls that wait for the time-out of a silent peer each time the
         * configuration is revalidated while the store is unavailable.
         */
        @Test
        void silentPeerIsNotWaitedForAfterAConfirmedReply() throws Exception {
            assertThat(fetch(SILENT, CONFIRMED))
                    .succeedsWithin(PEER_TIMEOUT_MS - 100, TimeUnit.MILLISECONDS)
                    .isEqualTo(new ConfigReplies(List.of(Optional.empty()), true));
        }

        /**
         * Guards against the reply of a near peer that is itself behind: on fcvf-grown,
         * hunt-28b9-7, a queue was rejected 4.3 s after its confirmation.
         */
        @Test
        void allPeersAreWaitedForIfNoReplyIsConfirmed() throws Exception {
            HttpHandler farther =
                    call ->
                            mEventLoops.schedule(
                                    () -> CHANGED.handle(call), 400, TimeUnit.MILLISECONDS);
            assertThat(fetch(UNCHANGED, farther))
                    .succeedsWithin(10 * PEER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .isEqualTo(
                            new ConfigReplies(
                                    List.of(Optional.empty(), Optional.of(CONFIG)), false));
        }

        @Test
        void queryEndsWithoutAResponse() throws Exception {
            assertThat(fetch(SILENT))
                    .succeedsWithin(10 * PEER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .isEqualTo(new ConfigReplies(List.of(), false));
        }

        /** An invalid response must not end the wait for a valid one. */
        @Test
        void invalidResponsesDoNotCount() throws Exception {
            HttpHandler corrupt =
                    call ->
                            call.respond(
                                    200,
                                    "application/gzip",
                                    Map.of(PeerClient.CONFIRMED_HEADER, PeerClient.CONFIRMED),
                                    new byte[] {1});
            HttpHandler starting = call -> call.respond(404, "text/plain", Map.of(), new byte[0]);
            HttpHandler slow =
                    call ->
                            mEventLoops.schedule(
                                    () -> CHANGED.handle(call), 400, TimeUnit.MILLISECONDS);
            assertThat(fetch(corrupt, starting, slow))
                    .succeedsWithin(10 * PEER_TIMEOUT_MS, TimeUnit.MILLISECONDS)
                    .isEqualTo(new ConfigReplies(List.of(Optional.of(CONFIG)), false));
        }
    }

    private CompletableFuture<ConfigReplies> fetch(HttpHandler... peers) throws IOException {
        for (HttpHandler peer : peers) {
            HttpServer server = new HttpServer(ANY_PORT, mEventLoops, 1_000, peer);
            server.start();
            mPeers.add(server);
        }
        HttpClient http = new HttpClient(mEventLoops, 1_000, 1_000);
        List<HostPort> seeds = mPeers.stream().map(HttpServer::address).toList();
        return new PeerClient(http, ANY_PORT, Optional::empty, seeds).fetchNewerConfigs(1);
    }
}
