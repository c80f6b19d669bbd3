package org.lycheeroad.transport.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.state.topology.HostPort;

/**
 * Sends HTTP requests with bodies held in memory over persistent connections.
 *
 * <p>Failures complete the future with {@link HttpCallException}.
 */
public final class HttpClient {
    private static final int MAX_IDLE_CONNECTIONS_PER_HOST = 4;

    private final EventLoopGroup mGroup;
    private final int mConnectTimeoutMs;
    private final int mMaxBodyBytes;
    private final Map<HostPort, Deque<Channel>> mIdleChannels = new ConcurrentHashMap<>();

    /**
     * Creates a client on a shared event loop group.
     *
     * @param connectTimeoutMs the connect timeout
     * @param maxBodyBytes the maximum response body; a longer one fails the call
     */
    public HttpClient(EventLoopGroup group, int connectTimeoutMs, int maxBodyBytes) {
        mGroup = group;
        mConnectTimeoutMs = connectTimeoutMs;
        mMaxBodyBytes = maxBodyBytes;
    }

    /**
     * Sends a request.
     *
     * @param timeoutMs the time limit for the call, which excludes connecting
     */
    public CompletableFuture<BufferedHttpResponse> call(
            HostPort server,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMs) {
        CompletableFuture<BufferedHttpResponse> responseFuture = new CompletableFuture<>();
        FullHttpRequest request = newRequest(server, method, path, headers, body);
        Channel idle = pollIdle(server);
        if (idle != null) {
            exchange(server, idle, request, responseFuture, timeoutMs);
            return responseFuture;
        }
        newBootstrap(
                        new ChannelInitializer<SocketChannel>() {
                            @Override
                            protected void initChannel(SocketChannel channel) {
                                channel.pipeline()
                                        .addLast(new HttpClientCodec())
                                        .addLast(new HttpObjectAggregator(mMaxBodyBytes));
                            }
                        })
                .connect(server.host(), server.port())
                .addListener(
                        (io.netty.channel.ChannelFuture connectFuture) -> {
                            if (connectFuture.isSuccess()) {
                                exchange(
                                        server,
                                        connectFuture.channel(),
                                        request,
                                        responseFuture,
                                        timeoutMs);
                            } else {
                                request.release();
                                responseFuture.completeExceptionally(
                                        new HttpCallException(
                                                HttpCallException.Kind.NOT_SENT,
                                                "cannot connect to " + server,
                                                connectFuture.cause()));
                            }
                        });
        return responseFuture;
    }

    /**
     * Sends a request whose response body is a stream of text lines.
     *
     * @return a handle that closes the connection
     */
    public AutoCloseable streamLines(
            HostPort server,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            HttpLineListener listener) {
        FullHttpRequest request = newRequest(server, method, path, headers, body);
        var connectFuture =
                newBootstrap(
                                new ChannelInitializer<SocketChannel>() {
                                    @Override
                                    protected void initChannel(SocketChannel channel) {
                                        channel.pipeline()
                                                .addLast(new HttpClientCodec())
                                                .addLast(
                                                        new LineStreamHandler(
                                                                listener, mMaxBodyBytes));
                                    }
                                })
                        .connect(server.host(), server.port());
        connectFuture.addListener(
                f -> {
                    if (f.isSuccess()) {
                        connectFuture.channel().writeAndFlush(request);
                    } else {
                        request.release();
                        listener.onEnd(f.cause());
                    }
                });
        return () -> connectFuture.channel().close();
    }

    /** Closes idle connections. */
    public void closeIdleConnections() {
        mIdleChannels
                .values()
                .forEach(
                        idle -> {
                            synchronized (idle) {
                                idle.forEach(Channel::close);
                                idle.clear();
                            }
                        });
    }

    private Bootstrap newBootstrap(ChannelInitializer<SocketChannel> initializer) {
        return new Bootstrap()
                .group(mGroup)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectTimeoutMs)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(initializer);
    }

    private void exchange(
            HostPort server,
            Channel channel,
            FullHttpRequest request,
            CompletableFuture<BufferedHttpResponse> responseFuture,
            long timeoutMs) {
        ResponseHandler reader = new ResponseHandler(server, responseFuture);
        channel.pipeline().addLast(reader);
        var timer =
                channel.eventLoop()
                        .schedule(
                                () -> {
                                    responseFuture.completeExceptionally(
                                            new HttpCallException(
                                                    HttpCallException.Kind.TIMEOUT,
                                                    "no response from " + server,
                                                    null));
                                    channel.close();
                                },
                                timeoutMs,
                                TimeUnit.MILLISECONDS);
        responseFuture.whenComplete((a, e) -> timer.cancel(false));
        channel.writeAndFlush(request)
                .addListener(
                        f -> {
                            if (!f.isSuccess()) {
                                reader.fail(f.cause());
                                channel.close();
                            }
                        });
    }

    private Channel pollIdle(HostPort server) {
        Deque<Channel> idle = mIdleChannels.get(server);
        if (idle == null) {
            return null;
        }
        synchronized (idle) {
            Channel channel;
            while ((channel = idle.pollLast()) != null) {
                if (channel.isActive()) {
                    return channel;
                }
            }
        }
        return null;
    }

    private void release(HostPort server, Channel channel) {
        Deque<Channel> idle = mIdleChannels.computeIfAbsent(server, k -> new ArrayDeque<>());
        synchronized (idle) {
            if (idle.size() < MAX_IDLE_CONNECTIONS_PER_HOST && channel.isActive()) {
                idle.addLast(channel);
                return;
            }
        }
        channel.close();
    }

    private static FullHttpRequest newRequest(
            HostPort server, String method, String path, Map<String, String> headers, byte[] body) {
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.valueOf(method),
                        path,
                        Unpooled.wrappedBuffer(body));
        headers.forEach(request.headers()::set);
        request.headers().set(HttpHeaderNames.HOST, server.host() + ":" + server.port());
        if (body.length > 0 || !method.equals("GET")) {
            request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        return request;
    }

    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final HostPort mServer;
        private final CompletableFuture<BufferedHttpResponse> mResponseFuture;

        ResponseHandler(HostPort server, CompletableFuture<BufferedHttpResponse> responseFuture) {
            mServer = server;
            mResponseFuture = responseFuture;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            byte[] body = new byte[response.content().readableBytes()];
            response.content().readBytes(body);
            boolean complete = response.decoderResult().isSuccess();
            context.pipeline().remove(this);
            if (complete && HttpUtil.isKeepAlive(response)) {
                release(mServer, context.channel());
            } else {
                context.close();
            }
            if (complete) {
                mResponseFuture.complete(
                        new BufferedHttpResponse(
                                response.status().code(),
                                HttpHeaderMaps.toMap(response.headers()),
                                body));
            } else {
                fail(response.decoderResult().cause());
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            fail(new IOException("connection closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            fail(cause);
            context.close();
        }

        void fail(Throwable cause) {
            mResponseFuture.completeExceptionally(
                    new HttpCallException(
                            HttpCallException.Kind.BROKEN,
                            "call to " + mServer + " failed before the response was complete",
                            cause));
        }
    }

    private static final class LineStreamHandler extends SimpleChannelInboundHandler<HttpObject> {
        private final HttpLineListener mListener;
        private final int mMaxLineBytes;
        private final java.io.ByteArrayOutputStream mLine = new java.io.ByteArrayOutputStream();
        private boolean mEnded;

        LineStreamHandler(HttpLineListener listener, int maxLineBytes) {
            mListener = listener;
            mMaxLineBytes = maxLineBytes;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (message instanceof HttpResponse response && response.status().code() != 200) {
                notifyEnd(new IOException("unexpected status " + response.status().code()));
                context.close();
                return;
            }
            if (message instanceof HttpContent content) {
                readLines(content);
            }
            if (mLine.size() > mMaxLineBytes) {
                notifyEnd(new IOException("line exceeds the maximum length"));
                context.close();
            }
            if (message instanceof LastHttpContent) {
                notifyEnd(null);
                context.close();
            }
        }

        private void readLines(HttpContent content) {
            while (content.content().isReadable()) {
                byte b = content.content().readByte();
                if (b == '\n') {
                    String line = mLine.toString(StandardCharsets.UTF_8);
                    mLine.reset();
                    mListener.onLine(line);
                } else {
                    mLine.write(b);
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            notifyEnd(new IOException("connection closed"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            notifyEnd(cause);
            context.close();
        }

        private void notifyEnd(Throwable cause) {
            if (!mEnded) {
                mEnded = true;
                mListener.onEnd(cause);
            }
        }
    }
}
