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

/** Binds listening sockets. */
public final class ListeningSockets {
    /**
     * How long an address may stay in use by its previous owner.
     *
     * <p>A selector keeps a closed listening socket until its next selection, so the address can be
     * in use for a moment after the close has completed. A replaced process needs a moment as well.
     */
    private static final long ADDRESS_IN_USE_TIMEOUT_MS = 1_000;

    private static final long BIND_RETRY_INTERVAL_MS = 10;

    private ListeningSockets() {}

    /**
     * Binds an address and waits up to 1 s while it is in use.
     *
     * @throws IOException if the address cannot be bound, or the thread is interrupted
     */
    public static Channel bind(ServerBootstrap bootstrap, HostPort listen) throws IOException {
        bootstrap.channel(NioServerSocketChannel.class).option(ChannelOption.SO_REUSEADDR, true);
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ADDRESS_IN_USE_TIMEOUT_MS);
        while (true) {
            ChannelFuture bound =
                    bootstrap.bind(listen.host(), listen.port()).awaitUninterruptibly();
            if (bound.isSuccess()) {
                return bound.channel();
            }
            if (!(bound.cause() instanceof BindException) || System.nanoTime() - end > 0) {
                throw new IOException("cannot listen on " + listen, bound.cause());
            }
            waitBeforeRetry();
        }
    }

    private static void waitBeforeRetry() throws InterruptedIOException {
        try {
            Thread.sleep(BIND_RETRY_INTERVAL_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while an address was in use");
        }
    }
}
