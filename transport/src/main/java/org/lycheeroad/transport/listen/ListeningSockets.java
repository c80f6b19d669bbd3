package org.lycheeroad.transport.listen;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.BindException;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.state.topology.HostPort;

/** Binds listening sockets, with retries while the address is in use. */
public final class ListeningSockets {
    /**
     * How long to retry while the address is in use.
     *
     * <p>A selector releases a closed listening socket only at its next selection, so the address
     * can stay in use for a moment after the close has completed. It also stays in use while a
     * process that is being replaced exits.
     */
    private static final long ADDRESS_IN_USE_TIMEOUT_MS = 1_000;

    private static final long BIND_RETRY_INTERVAL_MS = 10;

    private ListeningSockets() {}

    /**
     * Binds an address; retries for up to 1 s while it is in use.
     *
     * @throws IOException if the address cannot be bound, or the thread is interrupted
     */
    public static Channel bind(ServerBootstrap bootstrap, HostPort listen) throws IOException {
        bootstrap.channel(NioServerSocketChannel.class).option(ChannelOption.SO_REUSEADDR, true);
        long deadlineNanos =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ADDRESS_IN_USE_TIMEOUT_MS);
        while (true) {
            ChannelFuture bindFuture =
                    bootstrap.bind(listen.host(), listen.port()).awaitUninterruptibly();
            if (bindFuture.isSuccess()) {
                return bindFuture.channel();
            }
            if (!(bindFuture.cause() instanceof BindException)
                    || System.nanoTime() - deadlineNanos > 0) {
                throw new IOException("cannot listen on " + listen, bindFuture.cause());
            }
            waitBeforeRetry();
        }
    }

    private static void waitBeforeRetry() throws InterruptedIOException {
        try {
            Thread.sleep(BIND_RETRY_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while waiting for an address in use");
        }
    }
}
