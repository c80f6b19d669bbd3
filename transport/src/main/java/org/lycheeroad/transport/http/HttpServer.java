package org.lycheeroad.transport.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.listen.ListeningSockets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves HTTP requests with bodies held in memory; meant for the small bodies of control APIs. */
public final class HttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(HttpServer.class);

    private final HostPort mListen;
    private final EventLoopGroup mGroup;
    private final int mMaxBodyBytes;
    private final HttpHandler mHandler;
    private Channel mChannel;

    /**
     * Creates a server that is not started yet.
     *
     * @param listen the address to bind; port 0 picks a free port
     * @param maxBodyBytes the maximum request body; a longer one gets status 413
     */
    public HttpServer(
            HostPort listen, EventLoopGroup group, int maxBodyBytes, HttpHandler handler) {
        mListen = listen;
        mGroup = group;
        mMaxBodyBytes = maxBodyBytes;
        mHandler = handler;
    }

    /**
     * Binds the address.
     *
     * @throws IOException if the address cannot be bound
     */
    public void start() throws IOException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .option(ChannelOption.SO_BACKLOG, 1024)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer());
        mChannel = ListeningSockets.bind(bootstrap, mListen);
    }

    /** Stops accepting connections; open connections are left open. */
    public void stop() {
        if (mChannel != null) {
            mChannel.close().awaitUninterruptibly();
        }
    }

    /** Returns the bound address. */
    public HostPort address() {
        InetSocketAddress local = (InetSocketAddress) mChannel.localAddress();
        return new HostPort(mListen.host(), local.getPort());
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(mMaxBodyBytes))
                    .addLast(new Dispatcher());
        }
    }

    private final class Dispatcher extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            HttpCall call = new HttpCall(context, request);
            try {
                mHandler.handle(call);
            } catch (RuntimeException e) {
                LOG.error("Handler failed on {} {}", call.method(), call.path(), e);
                byte[] body = "internal error\n".getBytes(StandardCharsets.UTF_8);
                call.respond(500, "text/plain", Map.of(), body);
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("Connection failed", cause);
            context.close();
        }
    }
}
