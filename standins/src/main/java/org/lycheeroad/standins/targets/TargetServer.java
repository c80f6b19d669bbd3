package org.lycheeroad.standins.targets;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.lycheeroad.protocol.api.RequestHeaders;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.listen.ListeningSockets;

/**
 * One target, which runs requests in a fixed number of slots and accepts a limited number of
 * connections.
 */
final class TargetServer {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final String RUN_PATH = "/run/";

    private final String mId;
    private final int mSlots;
    private final int mMaxConnections;
    private final EventLoopGroup mGroup;
    private final ServiceTimeSampler mServiceTimes;
    private final ExecutionLog mExecutionLog;
    private final ChannelGroup mOpenChannels =
            new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final AtomicReference<TargetFault> mFault = new AtomicReference<>(TargetFault.NONE);
    private final AtomicReference<String> mLastAttempt = new AtomicReference<>("none");
    private int mBusySlots;
    private int mAffectedRequests;
    private Channel mServerChannel;

    TargetServer(
            String id,
            int slots,
            int maxConnections,
            EventLoopGroup group,
            ServiceTimeSampler serviceTimes,
            ExecutionLog executionLog) {
        mId = id;
        mSlots = slots;
        mMaxConnections = maxConnections;
        mGroup = group;
        mServiceTimes = serviceTimes;
        mExecutionLog = executionLog;
    }

    String id() {
        return mId;
    }

    void start(HostPort listen) throws IOException {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroup)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new ConnectionInitializer());
        mServerChannel = ListeningSockets.bind(bootstrap, listen);
    }

    int port() {
        return ((InetSocketAddress) mServerChannel.localAddress()).getPort();
    }

    synchronized void setFault(TargetFault fault) {
        mAffectedRequests = 0;
        mFault.set(fault);
        if (fault.mode().equals("down")) {
            mOpenChannels.close();
        }
    }

    /** Closes all connections without answering, as a crash of the process would. */
    void stop() {
        mServerChannel.close();
        mOpenChannels.close();
    }

    private synchronized TargetFault faultForNextRequest() {
        TargetFault fault = mFault.get();
        mAffectedRequests++;
        if (mAffectedRequests == fault.count()) {
            mFault.set(TargetFault.NONE);
        }
        return fault;
    }

    private synchronized boolean tryAcquireSlot() {
        if (mBusySlots >= mSlots) {
            return false;
        }
        mBusySlots++;
        return true;
    }

    private synchronized void releaseSlot() {
        mBusySlots--;
    }

    private void handleRequest(ChannelHandlerContext context, FullHttpRequest request) {
        if (!request.uri().startsWith(RUN_PATH)) {
            answer(context, 404, "", "not found");
            return;
        }
        TargetFault fault = faultForNextRequest();
        String attempt = request.headers().get(RequestHeaders.ATTEMPT, "");
        if (fault.mode().equals("drain")) {
            answerNotRun(context, attempt, "draining");
            return;
        }
        if (fault.mode().equals("refuse") || !tryAcquireSlot()) {
            answerNotRun(context, attempt, "busy");
            return;
        }
        String kind = request.uri().substring(RUN_PATH.length());
        String body = request.content().toString(StandardCharsets.UTF_8);
        int executionIndex =
                mExecutionLog.begin(
                        new Execution(
                                mId,
                                kind,
                                request.headers().get(RequestHeaders.TEAM, ""),
                                request.headers().get(RequestHeaders.REQUEST, ""),
                                attempt,
                                body,
                                System.currentTimeMillis(),
                                0));
        long runMs = mServiceTimes.sampleMs(kind, body);
        if (fault.mode().equals("slow")) {
            runMs += fault.delayMs();
        }
        context.executor()
                .schedule(
                        () -> {
                            releaseSlot();
                            mExecutionLog.end(executionIndex, System.currentTimeMillis());
                            sendResponse(context, fault, attempt, body);
                        },
                        runMs,
                        TimeUnit.MILLISECONDS);
    }

    private void sendResponse(
            ChannelHandlerContext context, TargetFault fault, String attempt, String body) {
        String previous = mLastAttempt.getAndSet(attempt);
        String text = "ran " + body + "\n";
        switch (fault.mode()) {
            case "cut", "short" -> {
                // "cut" closes the connection in the middle of a chunked body, "short" closes it
                // before the announced content length has been sent.
                var responseHead =
                        new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
                responseHead.headers().set(RequestHeaders.ATTEMPT, attempt);
                if (fault.mode().equals("cut")) {
                    responseHead.headers().set(HttpHeaderNames.TRANSFER_ENCODING, "chunked");
                } else {
                    responseHead.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, text.length());
                }
                context.write(responseHead);
                ByteBuf firstHalf =
                        Unpooled.copiedBuffer(
                                text.substring(0, text.length() / 2), StandardCharsets.UTF_8);
                context.writeAndFlush(new DefaultHttpContent(firstHalf))
                        .addListener(ChannelFutureListener.CLOSE);
            }
            case "crossed" -> answer(context, 200, previous, "ran another request\n");
            default -> answer(context, 200, attempt, text);
        }
    }

    private static void answerNotRun(ChannelHandlerContext context, String attempt, String reason) {
        DefaultFullHttpResponse response = newResponse(503, attempt, reason + "\n");
        response.headers().set(RequestHeaders.NOT_RUN, reason);
        context.writeAndFlush(response);
    }

    private static void answer(
            ChannelHandlerContext context, int status, String attempt, String text) {
        context.writeAndFlush(newResponse(status, attempt, text));
    }

    private static DefaultFullHttpResponse newResponse(int status, String attempt, String text) {
        ByteBuf body = Unpooled.copiedBuffer(text, StandardCharsets.UTF_8);
        var response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
        response.headers().set(RequestHeaders.ATTEMPT, attempt);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain");
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
        return response;
    }

    private final class ConnectionInitializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (mOpenChannels.size() >= mMaxConnections || mFault.get().mode().equals("down")) {
                channel.close();
                return;
            }
            mOpenChannels.add(channel);
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new RequestHandler());
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            handleRequest(context, request);
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
