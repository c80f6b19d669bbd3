package org.lycheeroad.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32FrameDecoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.lycheeroad.protocol.peer.PeerFrame;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.listen.ListeningSockets;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps one outbound TCP connection to each peer, which carries requests and their replies.
 *
 * <p>Every frame with a correlation id gets a reply, which may be empty. A connection on which
 * replies are overdue is closed and opened again, since after a network partition the operating
 * system may take minutes before it retransmits on the old one.
 */
public final class NettyPeerTransport implements PeerTransport {
    private static final Logger LOG = LoggerFactory.getLogger(NettyPeerTransport.class);
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long RECONNECT_DELAY_MS = 400;
    private static final long NO_REPLY_TIMEOUT_MS = 3_000;
    private static final long NO_REPLY_CHECK_INTERVAL_MS = 500;

    /**
     * The high mark leaves room for a table of the maximum size; while more than that is buffered,
     * further frames, such as heartbeats, are dropped.
     */
    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(512 * 1024, 2 * 1024 * 1024);

    private final HostPort mListen;
    private final EventLoopGroup mGroup;
    private final Map<HostPort, OutboundConnection> mConnections = new ConcurrentHashMap<>();
    private final ChannelGroup mInboundChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicLong mLastCorrelationId = new AtomicLong();
    private final AtomicLong mBytesSent = new AtomicLong();
    private volatile PeerHandler mHandler;
    private volatile Channel mServerChannel;
    private volatile boolean mStopped;

    /** Creates a transport that is not started yet; port 0 picks a free port. */
    public NettyPeerTransport(HostPort listen, EventLoopGroup group) {
        mListen = listen;
        mGroup = group;
    }

    @Override
    public void start(PeerHandler handler) throws IOException {
        mHandler = handler;
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                        .childHandler(newInitializer(null));
        mServerChannel = ListeningSockets.bind(bootstrap, mListen);
        mGroup.scheduleWithFixedDelay(
                this::closeUnresponsiveConnections,
                NO_REPLY_CHECK_INTERVAL_MS,
                NO_REPLY_CHECK_INTERVAL_MS,
                TimeUnit.MILLISECONDS);
    }

    @Override
    public void stop() {
        mStopped = true;
        if (mServerChannel != null) {
            mServerChannel.close().awaitUninterruptibly();
        }
        setPeers(Set.of());
        mInboundChannels.close().awaitUninterruptibly();
    }

    @Override
    public HostPort address() {
        InetSocketAddress local = (InetSocketAddress) mServerChannel.localAddress();
        return new HostPort(mListen.host(), local.getPort());
    }

    @Override
    public void setPeers(Collection<HostPort> peers) {
        Set<HostPort> removed = new HashSet<>(mConnections.keySet());
        removed.removeAll(peers);
        for (HostPort peer : removed) {
            OutboundConnection connection = mConnections.remove(peer);
            if (connection != null) {
                connection.close();
            }
        }
        for (HostPort peer : peers) {
            mConnections.computeIfAbsent(peer, OutboundConnection::new).open();
        }
    }

    @Override
    public boolean send(HostPort peer, PeerFrame.Builder frame) {
        OutboundConnection connection = mConnections.get(peer);
        return connection != null && connection.write(frame.build());
    }

    @Override
    public CompletableFuture<PeerFrame> request(
            HostPort peer, PeerFrame.Builder frame, long timeoutMs) {
        CompletableFuture<PeerFrame> reply = new CompletableFuture<>();
        OutboundConnection connection = mConnections.get(peer);
        if (connection == null) {
            reply.completeExceptionally(
                    new PeerException(false, "not configured as a peer: " + peer));
            return reply;
        }
        long correlationId = mLastCorrelationId.incrementAndGet();
        connection.mPendingRequests.put(
                correlationId, new PendingRequest(reply, System.nanoTime()));
        if (!connection.write(frame.setCorrelation(correlationId).build())) {
            connection.mPendingRequests.remove(correlationId);
            reply.completeExceptionally(new PeerException(false, "no connection to " + peer));
            return reply;
        }
        var timer =
                mGroup.schedule(
                        () -> {
                            connection.mPendingRequests.remove(correlationId);
                            reply.completeExceptionally(
                                    new PeerException(true, "no reply from " + peer));
                        },
                        timeoutMs,
                        TimeUnit.MILLISECONDS);
        reply.whenComplete((r, e) -> timer.cancel(false));
        return reply;
    }

    /** Returns the total size in bytes of the frames sent so far, excluding length prefixes. */
    public long bytesSent() {
        return mBytesSent.get();
    }

    /** Returns the number of open connections that peers have to this entry. */
    public int inboundConnections() {
        return mInboundChannels.size();
    }

    private void closeUnresponsiveConnections() {
        if (!mStopped) {
            mConnections.values().forEach(OutboundConnection::closeIfUnresponsive);
        }
    }

    private ChannelInitializer<SocketChannel> newInitializer(OutboundConnection connection) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(new ProtobufVarint32FrameDecoder())
                        .addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
                        .addLast(new ProtobufVarint32LengthFieldPrepender())
                        .addLast(new ProtobufEncoder())
                        .addLast(new FrameHandler(connection));
                if (connection == null) {
                    mInboundChannels.add(channel);
                }
            }
        };
    }

    private void write(Channel channel, PeerFrame frame) {
        mBytesSent.addAndGet(frame.getSerializedSize());
        channel.writeAndFlush(frame);
    }

    private record PendingRequest(CompletableFuture<PeerFrame> reply, long sentAtNanos) {}

    /** The outbound connection to one peer, with the requests that wait for a reply on it. */
    private final class OutboundConnection {
        private final HostPort mPeer;
        private final Map<Long, PendingRequest> mPendingRequests = new ConcurrentHashMap<>();
        private Channel mChannel;
        private boolean mConnecting;
        private boolean mClosed;
        private volatile long mLastReadNanos = System.nanoTime();

        OutboundConnection(HostPort peer) {
            mPeer = peer;
        }

        synchronized void open() {
            if (mClosed || mConnecting || (mChannel != null && mChannel.isActive())) {
                return;
            }
            mConnecting = true;
            new Bootstrap()
                    .group(mGroup)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                    .handler(newInitializer(this))
                    .connect(mPeer.host(), mPeer.port())
                    .addListener((ChannelFuture connectFuture) -> onConnected(connectFuture));
        }

        private synchronized void onConnected(ChannelFuture connectFuture) {
            mConnecting = false;
            if (!connectFuture.isSuccess()) {
                scheduleReconnect();
            } else if (mClosed) {
                connectFuture.channel().close();
            } else {
                mChannel = connectFuture.channel();
                mChannel.closeFuture().addListener(f -> onClosed());
            }
        }

        private void onClosed() {
            mPendingRequests
                    .values()
                    .forEach(
                            request ->
                                    request.reply()
                                            .completeExceptionally(
                                                    new PeerException(
                                                            true, "lost connection to " + mPeer)));
            mPendingRequests.clear();
            scheduleReconnect();
        }

        private void scheduleReconnect() {
            if (!mStopped && !mGroup.isShuttingDown()) {
                mGroup.schedule(this::open, RECONNECT_DELAY_MS, TimeUnit.MILLISECONDS);
            }
        }

        synchronized boolean write(PeerFrame frame) {
            if (mChannel == null || !mChannel.isActive() || !mChannel.isWritable()) {
                return false;
            }
            NettyPeerTransport.this.write(mChannel, frame);
            return true;
        }

        synchronized void closeIfUnresponsive() {
            long nowNanos = System.nanoTime();
            long timeoutNanos = TimeUnit.MILLISECONDS.toNanos(NO_REPLY_TIMEOUT_MS);
            boolean overdue =
                    mPendingRequests.values().stream()
                            .anyMatch(request -> nowNanos - request.sentAtNanos() > timeoutNanos);
            if (mChannel != null && overdue && nowNanos - mLastReadNanos > timeoutNanos) {
                LOG.debug("No reply from {} within the timeout; closing the connection", mPeer);
                mChannel.close();
            }
        }

        synchronized void close() {
            mClosed = true;
            if (mChannel != null) {
                mChannel.close();
            }
        }
    }

    private final class FrameHandler extends SimpleChannelInboundHandler<PeerFrame> {
        private final OutboundConnection mConnection;

        FrameHandler(OutboundConnection connection) {
            mConnection = connection;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, PeerFrame frame) {
            if (mConnection != null) {
                mConnection.mLastReadNanos = System.nanoTime();
                PendingRequest pending =
                        mConnection.mPendingRequests.remove(frame.getCorrelation());
                if (pending != null && frame.getReply()) {
                    pending.reply().complete(frame);
                }
                return;
            }
            long correlationId = frame.getCorrelation();
            mHandler.onFrame(
                    frame,
                    reply -> {
                        if (correlationId != 0) {
                            write(
                                    context.channel(),
                                    reply.setCorrelation(correlationId).setReply(true).build());
                        }
                    });
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            LOG.debug("Peer connection failed", cause);
            context.close();
        }
    }
}
