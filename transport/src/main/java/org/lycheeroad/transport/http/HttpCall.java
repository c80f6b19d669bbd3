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

/**
 * A request with its complete body, received by {@link HttpServer} or {@link StreamingHttpServer}.
 *
 * <p>Only one response may be sent, from any thread.
 */
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

    /** Returns the first value of a query parameter, or an empty string if it is absent. */
    public String parameter(String name) {
        List<String> values = mUri.parameters().get(name);
        return values == null ? "" : values.get(0);
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    public String header(String name) {
        return mHeaders.getOrDefault(name.toLowerCase(java.util.Locale.ROOT), "");
    }

    /** Returns a copy of the body. */
    public byte[] body() {
        return mBody.clone();
    }

    /** Returns the body as UTF-8 text. */
    public String text() {
        return new String(mBody, StandardCharsets.UTF_8);
    }

    /** Returns whether the client's connection is still open. */
    public boolean isConnectionOpen() {
        return mContext.channel().isActive();
    }

    /** Runs an action when the client's connection is closed. */
    public void onConnectionClosed(Runnable action) {
        mContext.channel().closeFuture().addListener(f -> action.run());
    }

    /** Sends {@code Connection: close} with the response and closes the connection afterwards. */
    public void closeAfterResponse() {
        mKeepAlive = false;
    }

    /** Closes the connection without a response. */
    public void abort() {
        mResponseStarted.set(true);
        mContext.close();
    }

    /** Sends a JSON response. */
    public void respondJson(int status, String json) {
        respond(status, "application/json", Map.of(), json.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a response with the given body; ignored if a response has already been started. */
    public void respond(int status, String contentType, Map<String, String> headers, byte[] body) {
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
            // 204 and 304 responses have no body, and a 204 must not carry a content length.
            response.headers().remove(HttpHeaderNames.CONTENT_LENGTH);
        } else {
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        if (!mKeepAlive) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        var writeFuture = mContext.writeAndFlush(response);
        if (!mKeepAlive) {
            writeFuture.addListener(ChannelFutureListener.CLOSE);
        }
    }

    /** Sends the head of a chunked response, whose body is sent by {@link #writeChunk}. */
    public void startChunkedResponse(int status, String contentType) {
        if (!mResponseStarted.compareAndSet(false, true)) {
            return;
        }
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        mContext.writeAndFlush(response);
    }

    /** Sends a chunk of a chunked response. */
    public void writeChunk(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        mContext.writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes)));
    }

    /** Ends a chunked response. */
    public void endChunkedResponse() {
        mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    private static boolean hasNoBody(HttpResponseStatus status) {
        return status.equals(HttpResponseStatus.NO_CONTENT)
                || status.equals(HttpResponseStatus.NOT_MODIFIED);
    }
}
