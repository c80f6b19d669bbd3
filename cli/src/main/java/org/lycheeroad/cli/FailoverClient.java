package org.lycheeroad.cli;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpCallException;
import org.lycheeroad.transport.http.HttpClient;

/**
 * HTTP client for several equivalent servers that fails over to the next server when a call gets no
 * complete response.
 */
final class FailoverClient implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final int MAX_BODY_BYTES = 64 << 20;

    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mClient = new HttpClient(mGroup, CONNECT_TIMEOUT_MS, MAX_BODY_BYTES);
    private final List<HostPort> mServers;

    FailoverClient(List<HostPort> servers) {
        mServers = List.copyOf(servers);
    }

    /**
     * Parses a comma-separated list of {@code host:port} addresses.
     *
     * @throws IllegalArgumentException if an address is malformed or the list is empty
     */
    static List<HostPort> parseAddresses(String text, String option) {
        List<HostPort> servers = new ArrayList<>();
        for (String part : text.split(",", -1)) {
            int colon = part.trim().lastIndexOf(':');
            if (colon < 1) {
                throw new IllegalArgumentException(
                        option + " must be HOST:PORT[,HOST:PORT...], not '" + text + "'");
            }
            try {
                servers.add(
                        new HostPort(
                                part.trim().substring(0, colon),
                                Integer.parseInt(part.trim().substring(colon + 1))));
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(option + " has a bad port: " + part, e);
            }
        }
        return servers;
    }

    List<HostPort> servers() {
        return mServers;
    }

    /** Sends a call to one server. */
    CompletableFuture<BufferedHttpResponse> start(HostPort server, ServerCall call) {
        return call.start(mClient, server);
    }

    /**
     * Sends a call to the first server that accepts a connection, beginning with index {@code
     * first}. The call is retried only if nothing was sent, so it runs at most once.
     */
    CompletableFuture<BufferedHttpResponse> startWithFailover(int first, ServerCall call) {
        CompletableFuture<BufferedHttpResponse> answer = noServerFailure();
        for (int i = 0; i < mServers.size(); i++) {
            HostPort server = mServers.get((first + i) % mServers.size());
            answer =
                    answer.exceptionallyCompose(
                            e ->
                                    isNotSent(e)
                                            ? start(server, call)
                                            : CompletableFuture.failedFuture(e));
        }
        return answer;
    }

    private static CompletableFuture<BufferedHttpResponse> noServerFailure() {
        return CompletableFuture.failedFuture(
                new HttpCallException(HttpCallException.Kind.NOT_SENT, "no entry is named", null));
    }

    private static boolean isNotSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof HttpCallException e && e.kind() == HttpCallException.Kind.NOT_SENT;
    }

    /**
     * Calls one server and waits for its response.
     *
     * @throws HttpCallException if no complete response arrives in time
     */
    BufferedHttpResponse call(HostPort server, ServerCall call)
            throws HttpCallException, InterruptedException {
        try {
            return start(server, call).get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof HttpCallException failure) {
                throw failure;
            }
            throw new HttpCallException(
                    HttpCallException.Kind.BROKEN, String.valueOf(e.getCause()), e.getCause());
        }
    }

    /**
     * Calls the servers in turn until one answers.
     *
     * @param retryAfterSend whether to try the next server although the failed call may have been
     *     processed
     * @throws HttpCallException with kind {@code NOT_SENT} only if no server got any byte
     */
    BufferedHttpResponse callWithFailover(boolean retryAfterSend, ServerCall call)
            throws HttpCallException, InterruptedException {
        return callWithFailover(retryAfterSend, a -> false, call);
    }

    /**
     * Calls the servers in turn until one answers.
     *
     * @param retryAfterSend whether to try the next server although the failed call may have been
     *     processed
     * @param tryNext whether to ask the next server for a better response than this one
     * @throws HttpCallException with kind {@code NOT_SENT} only if no server got any byte
     */
    BufferedHttpResponse callWithFailover(
            boolean retryAfterSend, Predicate<BufferedHttpResponse> tryNext, ServerCall call)
            throws HttpCallException, InterruptedException {
        HttpCallException failure = null;
        BufferedHttpResponse lastResponse = null;
        for (HostPort server : mServers) {
            try {
                lastResponse = call(server, call);
                if (!tryNext.test(lastResponse)) {
                    return lastResponse;
                }
            } catch (HttpCallException e) {
                boolean sent = e.kind() != HttpCallException.Kind.NOT_SENT;
                if (failure == null || sent) {
                    failure = e;
                }
                if (sent && !retryAfterSend) {
                    throw e;
                }
            }
        }
        if (lastResponse != null) {
            return lastResponse;
        }
        throw failure;
    }

    @Override
    public void close() {
        mClient.closeIdleConnections();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
