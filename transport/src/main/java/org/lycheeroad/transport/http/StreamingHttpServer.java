package org.lycheeroad.transport.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpServerExpectContinueHandler;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.listen.ListeningSockets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Serves HTTP requests; the bodies of some are streamed with back-pressure, the others held in
 * memory.
 *
 * <p>Each connection processes one request at a time. One part is read at a time, so that a stream
 * needs no more memory than one read buffer and the write buffer up to its high water mark.
 */
public final class StreamingHttpServer {
    private static final Logger LOG = LoggerFactory.getLogger(StreamingHttpServer.class);
    private static final int BACKLOG = 1024;
    private static final int WRITE_LOW_WATER_MARK_BYTES = 16 * 1024;
    private static final int WRITE_HIGH_WATER_MARK_BYTES = 64 * 1024;

    private final HostPort mListen;
    private final EventLoopGroup mGroup;
    private final int mMaxBufferedBodyBytes;
    private final int mMaxConnections;
    private final long mStallTimeoutMs;
    private final StreamingHttpHandler mHandler;
    private final ChannelGroup mConnections =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
    private Channel mChannel;

    /**
     * Creates a server that is not started yet.
     *
     * @param maxBufferedBodyBytes the maximum body of a request that is not streamed; a longer one
     *     gets status 413
     * @param maxConnections the maximum number of open connections; further ones are closed at once
     * @param stallTimeoutMs a connection is closed if nothing is received or written for this time
     *     while the server waits for the client to send or to read
     */
    public StreamingHttpServer(
            HostPort listen,
            EventLoopGroup group,
            int maxBufferedBodyBytes,
            int maxConnections,
            long stallTimeoutMs,
            StreamingHttpHandler handler) {
        mListen = listen;
        mGroup = group;
        mMaxBufferedBodyBytes = maxBufferedBodyBytes;
        mMaxConnections = maxConnections;
        mStallTimeoutMs = stallTimeoutMs;
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
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.AUTO_READ, false)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK,
                                new WriteBufferWaterMark(
                                        WRITE_LOW_WATER_MARK_BYTES, WRITE_HIGH_WATER_MARK_BYTES))
                        .childHandler(new Initializer());
        mChannel = ListeningSockets.bind(bootstrap, mListen);
    }

    /** Stops accepting connections; open connections are left open. */
    public void stopAccepting() {
        mChannel.close().awaitUninterruptibly();
    }

    /** Closes all connections; waits at most 1 s. */
    public void closeConnections() {
        mConnections.close().awaitUninterruptibly(1, TimeUnit.SECONDS);
    }

    /** Returns the number of open connections. */
    public int connectionCount() {
        return mConnections.size();
    }

    /** Returns the bound address. */
    public HostPort address() {
        InetSocketAddress local = (InetSocketAddress) mChannel.localAddress();
        return new HostPort(mListen.host(), local.getPort());
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (mConnections.size() >= mMaxConnections) {
                channel.close();
                return;
            }
            mConnections.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpServerExpectContinueHandler())
                    .addLast(new FlowControlHandler())
                    .addLast(new SingleMessageReadHandler())
                    .addLast(new ConnectionHandler())
                    .addLast(new TailHandler());
        }
    }

    /**
     * Provides a context after {@link ConnectionHandler}, so that responses of an {@link HttpCall}
     * pass through it.
     */
    private static final class TailHandler extends ChannelInboundHandlerAdapter {}

    private final class ConnectionHandler extends ChannelDuplexHandler {
        private HttpObject mNextRequestPart;
        private boolean mRequestInProgress;
        private boolean mBodyComplete;
        private boolean mCloseAfterResponse;
        private HttpStreamListener mStreamListener;
        private HttpStream mStream;
        private HttpRequest mBufferedHead;
        private ByteBuf mBufferedBody;
        private long mLastProgressNanos;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            mLastProgressNanos = System.nanoTime();
            context.read();
            scheduleStallCheck(context);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            mLastProgressNanos = System.nanoTime();
            if (!(message instanceof HttpObject part)) {
                ReferenceCountUtil.release(message);
                return;
            }
            if (mRequestInProgress && mBodyComplete) {
                // A pipelined request waits until the response to the current one has been written.
                mNextRequestPart = part;
                return;
            }
            processPart(context, part);
        }

        private void processPart(ChannelHandlerContext context, HttpObject part) {
            try {
                if (part.decoderResult().isFailure()) {
                    respondAndClose(context, 400);
                    return;
                }
                if (part instanceof HttpRequest request) {
                    beginRequest(context, request);
                }
                if (part instanceof HttpContent content && mRequestInProgress) {
                    processBodyPart(context, content);
                }
            } catch (RuntimeException e) {
                LOG.error("Request handler failed", e);
                respondAndClose(context, 500);
            } finally {
                ReferenceCountUtil.release(part);
            }
        }

        private void beginRequest(ChannelHandlerContext context, HttpRequest request) {
            mRequestInProgress = true;
            mBodyComplete = false;
            mCloseAfterResponse = false;
            String path = new QueryStringDecoder(request.uri()).path();
            if (mHandler.isStreamed(request.method().name(), path)) {
                mStream = new HttpStream(context.channel(), request);
                HttpStreamListener listener = mHandler.openStream(mStream);
                // The handler may have completed the response already, which clears the stream.
                mStreamListener = mStream == null ? null : listener;
                // Reads only after the listener is set, since a read can deliver a part
                // synchronously.
                context.read();
            } else if (HttpUtil.getContentLength(request, 0L) > mMaxBufferedBodyBytes) {
                respondAndClose(context, 413);
            } else {
                mBufferedHead = request;
                mBufferedBody = Unpooled.buffer();
                context.read();
            }
        }

        private void processBodyPart(ChannelHandlerContext context, HttpContent content) {
            boolean last = content instanceof LastHttpContent;
            if (mStreamListener != null) {
                if (last) {
                    mBodyComplete = true;
                    mStream.markBodyComplete();
                }
                if (content.content().isReadable()) {
                    mStreamListener.onBodyPart(content.content().retain());
                }
                if (last && mStreamListener != null) {
                    mStreamListener.onBodyEnd();
                }
            } else if (mBufferedHead != null) {
                if (mBufferedBody.readableBytes() + content.content().readableBytes()
                        > mMaxBufferedBodyBytes) {
                    respondAndClose(context, 413);
                    return;
                }
                mBufferedBody.writeBytes(content.content());
                if (last) {
                    mBodyComplete = true;
                    handleBufferedRequest(context);
                }
            }
            if (mRequestInProgress && (last || mStreamListener == null)) {
                // After the last part, a read is kept pending to detect that the client
                // disconnects.
                context.read();
            }
        }

        private void handleBufferedRequest(ChannelHandlerContext context) {
            FullHttpRequest request =
                    new DefaultFullHttpRequest(
                            mBufferedHead.protocolVersion(),
                            mBufferedHead.method(),
                            mBufferedHead.uri(),
                            mBufferedBody,
                            mBufferedHead.headers(),
                            mBufferedHead.headers());
            mBufferedHead = null;
            mBufferedBody = null;
            mHandler.handle(new HttpCall(context.pipeline().context(TailHandler.class), request));
        }

        private void respondAndClose(ChannelHandlerContext context, int status) {
            mRequestInProgress = true;
            HttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            HttpResponseStatus.valueOf(status),
                            Unpooled.EMPTY_BUFFER);
            HttpUtil.setContentLength(response, 0);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.channel().writeAndFlush(response);
        }

        @Override
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof HttpResponse response) {
                if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                    context.write(message, promise);
                    return;
                }
                mCloseAfterResponse = !HttpUtil.isKeepAlive(response);
            }
            if (message instanceof LastHttpContent) {
                ChannelPromise writePromise = promise.unvoid();
                if (mCloseAfterResponse) {
                    writePromise.addListener(ChannelFutureListener.CLOSE);
                }
                context.write(message, writePromise);
                writePromise.addListener(f -> mLastProgressNanos = System.nanoTime());
                if (!mCloseAfterResponse) {
                    // Deferred, since this write may happen while the current message is being
                    // processed.
                    context.channel().eventLoop().execute(() -> onResponseWritten(context));
                }
                mStreamListener = null;
                mStream = null;
                return;
            }
            context.write(message, promise.unvoid())
                    .addListener(f -> mLastProgressNanos = System.nanoTime());
        }

        private void onResponseWritten(ChannelHandlerContext context) {
            mRequestInProgress = false;
            HttpObject nextPart = mNextRequestPart;
            mNextRequestPart = null;
            if (nextPart != null) {
                processPart(context, nextPart);
            } else {
                context.read();
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (mStreamListener != null && context.channel().isWritable()) {
                mStreamListener.onWritable();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            ReferenceCountUtil.release(mNextRequestPart);
            mNextRequestPart = null;
            HttpStreamListener stream = mStreamListener;
            mStreamListener = null;
            if (stream != null) {
                stream.onConnectionClosed();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("Connection failed", cause);
            context.close();
        }

        private void scheduleStallCheck(ChannelHandlerContext context) {
            context.executor()
                    .schedule(
                            () -> {
                                if (!context.channel().isActive()) {
                                    return;
                                }
                                if (isStalled(context)) {
                                    context.close();
                                } else {
                                    scheduleStallCheck(context);
                                }
                            },
                            mStallTimeoutMs,
                            TimeUnit.MILLISECONDS);
        }

        private boolean isStalled(ChannelHandlerContext context) {
            boolean waitsForClient =
                    !mRequestInProgress || !mBodyComplete || !context.channel().isWritable();
            long idleMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mLastProgressNanos);
            return waitsForClient && idleMs >= mStallTimeoutMs;
        }
    }
}
