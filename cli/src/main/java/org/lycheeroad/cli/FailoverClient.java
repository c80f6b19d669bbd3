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
import org.lycheeroad.transport.http.HttpAnswer;
import org.lycheeroad.transport.http.HttpCallException;
import org.lycheeroad.transport.http.HttpClient;

/** Calls one of several equal servers, the next one when a call gets no whole answer. */
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
     * Parses addresses of the form {@code host:port}, joined by commas.
     *
     * @throws IllegalArgumentException if an address is malformed or there is none
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

    /** Starts a call to one server. */
    CompletableFuture<HttpAnswer> start(HostPort to, ServerCall call) {
        return call.start(mClient, to);
    }

    /** Starts a call to the servers in turn until one is connected to. */
    CompletableFuture<HttpAnswer> startWithFailover(int first, ServerCall call) {
        CompletableFuture<HttpAnswer> answer = noServerFailure();
        for (int i = 0; i < mServers.size(); i++) {
            HostPort to = mServers.get((first + i) % mServers.size());
            answer =
                    answer.exceptionallyCompose(
                            e ->
                                    isNotSent(e)
                                            ? start(to, call)
                                            : CompletableFuture.failedFuture(e));
        }
        return answer;
    }

    private static CompletableFuture<HttpAnswer> noServerFailure() {
        return CompletableFuture.failedFuture(
                new HttpCallException(HttpCallException.Kind.NOT_SENT, "no entry is named", null));
    }

    private static boolean isNotSent(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        return cause instanceof HttpCallException e && e.kind() == HttpCallException.Kind.NOT_SENT;
    }

    /**
     * Calls one server and waits.
     *
     * @throws HttpCallException if there is no whole answer in time
     */
    HttpAnswer call(HostPort to, ServerCall call) throws HttpCallException, InterruptedException {
        try {
            return start(to, call).get();
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
     * @param repeat whether the call may be repeated after it may have been processed
     * @throws HttpCallException with kind {@code NOT_SENT} only if no server got any byte
     */
    HttpAnswer callWithFailover(boolean repeat, ServerCall call)
            throws HttpCallException, InterruptedException {
        return callWithFailover(repeat, a -> false, call);
    }

    /**
     * Calls the servers in turn until one answers.
     *
     * @param repeat whether the call may be repeated after it may have been processed
     * @param next whether another server may have a better answer than this one
     * @throws HttpCallException with kind {@code NOT_SENT} only if no server got any byte
     */
    HttpAnswer callWithFailover(boolean repeat, Predicate<HttpAnswer> next, ServerCall call)
            throws HttpCallException, InterruptedException {
        HttpCallException worst = null;
        HttpAnswer last = null;
        for (HostPort server : mServers) {
            try {
                last = call(server, call);
                if (!next.test(last)) {
                    return last;
                }
            } catch (HttpCallException e) {
                boolean sent = e.kind() != HttpCallException.Kind.NOT_SENT;
                if (worst == null || sent) {
                    worst = e;
                }
                if (sent && !repeat) {
                    throw e;
                }
            }
        }
        if (last != null) {
            return last;
        }
        throw worst;
    }

    @Override
    public void close() {
        mClient.close();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
