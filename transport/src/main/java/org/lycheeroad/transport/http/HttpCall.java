package org.lycheeroad.transport.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;

/** One request received by {@link HttpServer}; it is answered once, from any thread. */
public final class HttpCall {
    private final ChannelHandlerContext mContext;
    private final String mMethod;
    private final QueryStringDecoder mUri;
    private final Map<String, String> mHeaders;
    private final byte[] mBody;
    private volatile boolean mKeepAlive;
    private final AtomicBoolean mResponseStarted = new AtomicBoolean();

    HttpCall(ChannelHandlerContext context, FullHttpRequest request) {
        mContext = context;
        mMethod = request.method().name();
        mUri = new QueryStringDecoder(request.uri());
        mHeaders = HttpHeaderMaps.toMap(request.headers());
        mBody = new byte[request.content().readableBytes()];
        request.content().readBytes(mBody);
        mKeepAlive = HttpUtil.isKeepAlive(request);
    }

    /** Returns the method, such as {@code GET}. */
    public String method() {
        return mMethod;
    }

    /** Returns the decoded path without the query. */
    public String path() {
        return mUri.path();
    }

    /** Returns a query parameter, or an empty string. */
    public String parameter(String name) {
        List<String> values = mUri.parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    /** Returns a header, or an empty string. */
    public String header(String name) {
        return mHeaders.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
    }

    /** Returns the whole body. */
    public byte[] body() {
        return mBody.clone();
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(mBody, StandardCharsets.UTF_8);
    }

    /** Returns whether the caller's connection is still open. */
    public boolean isConnectionOpen() {
        return mContext.channel().isActive();
    }

    /** Runs an action once the caller's connection is closed. */
    public void onConnectionClosed(Runnable action) {
        mContext.channel().closeFuture().addListener(f -> action.run());
    }

    /** Closes the connection once the answer is written, which the answer announces. */
    public void closeAfterResponse() {
        mKeepAlive = false;
    }

    /** Closes the connection without an answer. */
    public void abort() {
        mResponseStarted.set(true);
        mContext.close();
    }

    /** Answers with JSON. */
    public void respondJson(int status, String json) {
        respond(status, "application/json", Map.of(), json.getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with a whole body; a second answer is ignored. */
    public void respond(int status, String type, Map<String, String> headers, byte[] body) {
        if (!mResponseStarted.compareAndSet(false, true)) {
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(status),
                        Unpooled.wrappedBuffer(body));
        headers.forEach(response.headers()::set);
        if (hasNoBody(response.status())) {
            // Such an answer ends with its head; a length would be wrong in a 204.
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        } else {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        if (!mKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var written = mContext.writeAndFlush(response);
        if (!mKeepAlive) {
            written.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Starts a chunked answer that {@link #writeChunk} continues. */
    public void startChunkedResponse(int status, String type) {
        if (!mResponseStarted.compareAndSet(false, true)) {
            return;
        }
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        mContext.writeAndFlush(response);
    }

    /** Sends a part of a chunked answer. */
    public void writeChunk(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mContext.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    /** Ends a chunked answer. */
    public void endChunkedResponse() {
        mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
