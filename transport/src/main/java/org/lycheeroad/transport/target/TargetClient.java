package org.lycheeroad.transport.target;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.flow.FlowControlHandler;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.protocol.api.RequestHeaders;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.SingleMessageReadHandler;

/**
 * Sends requests to targets over persistent connections, one exchange per connection at a time.
 *
 * <p>All work runs on one event loop, so that no locks are needed. A response is reported as {@link
 * AttemptEnd#WHOLE} only if it carries the id of the attempt and its end is known from its framing.
 * If anything else arrives on a connection, it is closed, so that a late or duplicate response
 * cannot be taken for the response of the next exchange.
 */
public final class TargetClient {
    /**
     * Idle connections are closed after this time, before servers with the common keep-alive
     * timeout of 5 s close them: a request written to a connection that the target is closing ends
     * as {@link AttemptEnd#BROKEN}.
     */
    private static final long MAX_IDLE_MS = 4_000;

    private static final int WRITE_LOW_WATER_MARK_BYTES = 16 * 1024;
    private static final int WRITE_HIGH_WATER_MARK_BYTES = 64 * 1024;

    private final EventLoop mLoop;
    private final int mConnectTimeoutMs;
    private final int mMaxConnectionsPerTarget;
    private final Map<HostPort, ConnectionPool> mPools = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param connectTimeoutMs the connect timeout
     * @param maxConnectionsPerTarget the maximum number of connections to one target, including
     *     idle ones
     */
    public TargetClient(EventLoop loop, int connectTimeoutMs, int maxConnectionsPerTarget) {
        mLoop = loop;
        mConnectTimeoutMs = connectTimeoutMs;
        mMaxConnectionsPerTarget = maxConnectionsPerTarget;
    }

    /**
     * Starts an exchange; must be called on the event loop.
     *
     * @param headers the headers to send besides host, length or transfer encoding, and attempt
     * @param attemptId the id that the response must carry
     */
    public TargetExchange send(
            HostPort target,
            String path,
            HttpHeaders headers,
            String attemptId,
            RequestBody body,
            TargetResponseListener listener) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path);
        head.headers().set(headers);
        head.headers().set(RequestHeaders.ATTEMPT, attemptId);
        head.headers().set(HttpHeaderNames.HOST, target.host() + ":" + target.port());
        if (body.lengthBytes() >= 0) {
            HttpUtil.setContentLength(head, body.lengthBytes());
        } else {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        ClientExchange exchange = new ClientExchange(head, attemptId, body, listener);
        ConnectionPool pool = mPools.computeIfAbsent(target, ConnectionPool::new);
        Channel idle = pool.pollIdle();
        if (idle != null) {
            exchange.start(pool, idle);
        } else if (pool.mConnectionCount >= mMaxConnectionsPerTarget) {
            exchange.end(AttemptEnd.NOT_SENT, "all connections to the target are in use");
        } else {
            pool.connect(exchange);
        }
        return exchange;
    }

    /** Returns the number of open connections to a target; must be called on the event loop. */
    public int connectionCount(HostPort target) {
        ConnectionPool pool = mPools.get(target);
        return pool == null ? 0 : pool.mConnectionCount;
    }

    /** Closes the idle connections. */
    public void closeIdleConnections() {
        mLoop.execute(() -> List.copyOf(mPools.values()).forEach(ConnectionPool::closeIdle));
    }

    private final class ConnectionPool {
        private final HostPort mTarget;
        private final Deque<Channel> mIdleChannels = new ArrayDeque<>();
        private int mConnectionCount;

        ConnectionPool(HostPort target) {
            mTarget = target;
        }

        Channel pollIdle() {
            Channel channel;
            while ((channel = mIdleChannels.pollLast()) != null) {
                if (channel.isActive()) {
                    return channel;
                }
            }
            return null;
        }

        void closeIdle() {
            // Iterates over a copy, since closing a channel removes it from the deque.
            List.copyOf(mIdleChannels).forEach(Channel::close);
        }

        void connect(ClientExchange exchange) {
            mConnectionCount++;
            ChannelFuture connectFuture =
                    new Bootstrap()
                            .group(mLoop)
                            .channel(NioSocketChannel.class)
                            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, mConnectTimeoutMs)
                            .option(ChannelOption.TCP_NODELAY, true)
                            .option(ChannelOption.AUTO_READ, false)
                            .option(
                                    ChannelOption.WRITE_BUFFER_WATER_MARK,
                                    new WriteBufferWaterMark(
                                            WRITE_LOW_WATER_MARK_BYTES,
                                            WRITE_HIGH_WATER_MARK_BYTES))
                            .handler(
                                    new ChannelInitializer<SocketChannel>() {
                                        @Override
                                        protected void initChannel(SocketChannel channel) {
                                            ConnectionHandler connection =
                                                    new ConnectionHandler(ConnectionPool.this);
                                            channel.pipeline()
                                                    .addLast(new ByteCountHandler(connection))
                                                    .addLast(new HttpClientCodec())
                                                    .addLast(new FlowControlHandler())
                                                    .addLast(new SingleMessageReadHandler())
                                                    .addLast(connection);
                                        }
                                    })
                            .connect(mTarget.host(), mTarget.port());
            connectFuture
                    .channel()
                    .closeFuture()
                    .addListener(f -> onClosed(connectFuture.channel()));
            connectFuture.addListener(
                    f -> {
                        if (!f.isSuccess()) {
                            exchange.end(AttemptEnd.NOT_SENT, "cannot connect to the target");
                        } else {
                            exchange.start(this, connectFuture.channel());
                        }
                    });
        }

        void onClosed(Channel channel) {
            mConnectionCount--;
            mIdleChannels.remove(channel);
            if (mConnectionCount == 0) {
                mPools.remove(mTarget, this);
            }
        }

        void release(Channel channel) {
            mIdleChannels.addLast(channel);
            // Keeps one read pending, so that a close or an unexpected response is noticed.
            channel.read();
            mLoop.schedule(
                    () -> {
                        ConnectionHandler connection =
                                channel.pipeline().get(ConnectionHandler.class);
                        if (connection != null && connection.isIdleFor(MAX_IDLE_MS)) {
                            channel.close();
                        }
                    },
                    MAX_IDLE_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private static final class ConnectionHandler extends ChannelInboundHandlerAdapter
            implements ByteCountHandler.Listener {
        private final ConnectionPool mPool;
        private ClientExchange mExchange;
        private long mIdleSinceNanos;

        ConnectionHandler(ConnectionPool pool) {
            mPool = pool;
        }

        boolean isIdleFor(long durationMs) {
            return mExchange == null
                    && System.nanoTime() - mIdleSinceNanos
                            >= TimeUnit.MILLISECONDS.toNanos(durationMs);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (mExchange != null && message instanceof HttpObject part) {
                    mExchange.processPart(part);
                } else {
                    // There is no exchange: the response is late or a duplicate.
                    context.close();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void onBytesTransferred(int sentBytes, int receivedBytes) {
            if (mExchange != null) {
                mExchange.mListener.onBytesTransferred(sentBytes, receivedBytes);
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (mExchange != null && context.channel().isWritable()) {
                mExchange.resumeSending();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            mPool.mIdleChannels.remove(context.channel());
            if (mExchange != null) {
                mExchange.end(AttemptEnd.BROKEN, "the target closed the connection");
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (mExchange != null) {
                mExchange.end(AttemptEnd.BROKEN, "connection to the target failed");
            }
            context.close();
        }
    }

    private static final class ClientExchange implements TargetExchange {
        private final HttpRequest mRequest;
        private final String mAttemptId;
        private final RequestBody mBody;
        private final TargetResponseListener mListener;
        private ConnectionPool mPool;
        private Channel mChannel;
        private HttpResponse mResponseHead;
        private boolean mRefused;
        private boolean mSending;
        private boolean mRequestSent;
        private boolean mEnded;

        ClientExchange(
                HttpRequest request,
                String attemptId,
                RequestBody body,
                TargetResponseListener listener) {
            mRequest = request;
            mAttemptId = attemptId;
            mBody = body;
            mListener = listener;
        }

        void start(ConnectionPool pool, Channel channel) {
            if (mEnded) {
                pool.release(channel);
                return;
            }
            mPool = pool;
            mChannel = channel;
            channel.pipeline().get(ConnectionHandler.class).mExchange = this;
            channel.write(mRequest);
            resumeSending();
            channel.flush();
            channel.read();
        }

        @Override
        public void resumeSending() {
            // Guards against reentrance: a flush can change the writability, which calls this
            // method.
            if (mChannel == null || mEnded || mRequestSent || mSending) {
                return;
            }
            mSending = true;
            try {
                boolean more = true;
                while (more && mChannel.isWritable()) {
                    more = writeUntilFull();
                    if (mBody.isFinished()) {
                        mRequestSent = true;
                        more = false;
                        mChannel.write(LastHttpContent.EMPTY_LAST_CONTENT);
                    }
                    mChannel.flush();
                }
            } finally {
                mSending = false;
            }
        }

        /**
         * Writes until the write buffer is full or the body is finished; returns false if no part
         * is available.
         */
        private boolean writeUntilFull() {
            while (mChannel.isWritable() && !mBody.isFinished()) {
                ByteBuf part = mBody.nextPart();
                if (part == null) {
                    return false;
                }
                mChannel.write(new DefaultHttpContent(part));
            }
            return true;
        }

        @Override
        public void readNextPart() {
            if (!mEnded && mChannel != null) {
                mChannel.read();
            }
        }

        @Override
        public void abort() {
            if (!mEnded) {
                boolean started = mChannel != null;
                end(started ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT, "aborted by the entry");
            }
        }

        void processPart(HttpObject part) {
            if (mEnded) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                end(AttemptEnd.BROKEN, "the response is not valid HTTP");
                return;
            }
            boolean more = true;
            if (part instanceof HttpResponse head) {
                if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
                    mChannel.read();
                    return;
                }
                if (!acceptHead(head)) {
                    return;
                }
            }
            if (part instanceof HttpContent content && mResponseHead != null) {
                if (!mRefused && content.content().isReadable()) {
                    more = mListener.onBodyPart(content.content().retain());
                }
                if (part instanceof LastHttpContent) {
                    end(mRefused ? refusalEnd() : AttemptEnd.WHOLE, "");
                    return;
                }
            }
            if (more && !mEnded) {
                mChannel.read();
            }
        }

        private boolean acceptHead(HttpResponse head) {
            if (!mAttemptId.equals(head.headers().get(RequestHeaders.ATTEMPT))) {
                end(AttemptEnd.BROKEN, "the response does not carry the id of this attempt");
                return false;
            }
            if (!isFramed(head)) {
                end(
                        AttemptEnd.BROKEN,
                        "the response has neither a content length nor chunked encoding");
                return false;
            }
            mResponseHead = head;
            mRefused =
                    head.status().code() == 503 && head.headers().contains(RequestHeaders.NOT_RUN);
            if (!mRefused) {
                mListener.onResponseHead(head);
            }
            return true;
        }

        private AttemptEnd refusalEnd() {
            return "draining".equals(mResponseHead.headers().get(RequestHeaders.NOT_RUN))
                    ? AttemptEnd.DRAINING
                    : AttemptEnd.REFUSED;
        }

        void end(AttemptEnd end, String reason) {
            if (mEnded) {
                return;
            }
            mEnded = true;
            if (mChannel != null) {
                ConnectionHandler connection = mChannel.pipeline().get(ConnectionHandler.class);
                boolean reusable =
                        (end == AttemptEnd.WHOLE || mRefused)
                                && mRequestSent
                                && mChannel.isActive()
                                && HttpUtil.isKeepAlive(mResponseHead);
                if (connection != null) {
                    connection.mExchange = null;
                    connection.mIdleSinceNanos = System.nanoTime();
                }
                if (reusable) {
                    mPool.release(mChannel);
                } else {
                    mChannel.close();
                }
            }
            mListener.onEnd(end, reason);
        }

        private static boolean isFramed(HttpResponse head) {
            int status = head.status().code();
            return status == 204
                    || status == 304
                    || HttpUtil.isContentLengthSet(head)
                    || head.headers()
                            .containsValue(
                                    HttpHeaderNames.TRANSFER_ENCODING,
                                    HttpHeaderValues.CHUNKED,
                                    true);
        }
    }
}
