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
 * Sends requests to targets over kept-alive connections, one exchange per connection at a time.
 *
 * <p>All methods run on one event loop, so that callers and targets need no locks between them. An
 * answer is reported whole only if it names the attempt and its framing shows its end; a connection
 * on which anything else arrives is closed, so that a late or duplicated answer cannot reach the
 * next exchange.
 */
public final class TargetClient {
    /**
     * Idle connections are closed after this time, before servers with the common keep-alive time
     * of 5 s close them: a request written to a connection that its target closes counts as broken.
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
     * @param connectMillis the connect timeout in milliseconds
     * @param maxConnections the most connections to one target, idle ones included
     */
    public TargetClient(EventLoop loop, int connectMillis, int maxConnections) {
        mLoop = loop;
        mConnectTimeoutMs = connectMillis;
        mMaxConnectionsPerTarget = maxConnections;
    }

    /**
     * Starts an exchange; must be called on the event loop.
     *
     * @param headers the headers to send besides host, length and attempt
     * @param attempt the id that the answer must carry
     */
    public TargetExchange send(
            HostPort target,
            String path,
            HttpHeaders headers,
            String attempt,
            RequestBody body,
            TargetResponseListener listener) {
        HttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path);
        head.headers().set(headers);
        head.headers().set(RequestHeaders.ATTEMPT, attempt);
        head.headers().set(HttpHeaderNames.HOST, target.host() + ":" + target.port());
        if (body.lengthBytes() >= 0) {
            HttpUtil.setContentLength(head, body.lengthBytes());
        } else {
            HttpUtil.setTransferEncodingChunked(head, true);
        }
        ClientExchange exchange = new ClientExchange(head, attempt, body, listener);
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
            // Closing removes the channel from the idle ones.
            List.copyOf(mIdleChannels).forEach(Channel::close);
        }

        void connect(ClientExchange exchange) {
            mConnectionCount++;
            ChannelFuture connecting =
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
            connecting.channel().closeFuture().addListener(f -> onClosed(connecting.channel()));
            connecting.addListener(
                    f -> {
                        if (!f.isSuccess()) {
                            exchange.end(AttemptEnd.NOT_SENT, "cannot connect to the target");
                        } else {
                            exchange.start(this, connecting.channel());
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
            // Keeps one read outstanding, so that a close or a stray answer is noticed.
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

        boolean isIdleFor(long millis) {
            return mExchange == null
                    && System.nanoTime() - mIdleSinceNanos >= TimeUnit.MILLISECONDS.toNanos(millis);
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            try {
                if (mExchange != null && message instanceof HttpObject part) {
                    mExchange.processPart(part);
                } else {
                    // Nothing was asked: the target answered twice or too late.
                    context.close();
                }
            } finally {
                ReferenceCountUtil.release(message);
            }
        }

        @Override
        public void onBytesTransferred(int sent, int received) {
            if (mExchange != null) {
                mExchange.mListener.onBytesTransferred(sent, received);
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
        private final String mAttempt;
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
                String attempt,
                RequestBody body,
                TargetResponseListener listener) {
            mRequest = request;
            mAttempt = attempt;
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
            // Flushing can change the writability, which calls this method again.
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

        /** Writes until the channel is full; returns false when the body has no part for now. */
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
                boolean begun = mChannel != null;
                end(begun ? AttemptEnd.BROKEN : AttemptEnd.NOT_SENT, "given up by the entry");
            }
        }

        void processPart(HttpObject part) {
            if (mEnded) {
                return;
            }
            if (part.decoderResult().isFailure()) {
                end(AttemptEnd.BROKEN, "the answer is not valid HTTP");
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
            if (!mAttempt.equals(head.headers().get(RequestHeaders.ATTEMPT))) {
                end(AttemptEnd.BROKEN, "the answer belongs to another attempt");
                return false;
            }
            if (!isFramed(head)) {
                end(AttemptEnd.BROKEN, "the answer does not show where it ends");
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
