package org.lycheeroad.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;

/**
 * A streamed request and its response; all methods must be called on the event loop of the
 * connection.
 */
public final class HttpStream {
    private final Channel mChannel;
    private final HttpRequest mRequest;
    private final String mPath;
    private final boolean mKeepAlive;
    private boolean mBodyComplete;
    private boolean mResponseStarted;

    HttpStream(Channel channel, HttpRequest request) {
        mChannel = channel;
        mRequest = request;
        mPath = new QueryStringDecoder(request.uri()).path();
        mKeepAlive = HttpUtil.isKeepAlive(request);
    }

    /** Returns the event loop of the connection. */
    public EventLoop eventLoop() {
        return mChannel.eventLoop();
    }

    /** Returns the decoded path without the query. */
    public String path() {
        return mPath;
    }

    /** Returns the value of a header, or an empty string if it is absent. */
    public String header(String name) {
        return mRequest.headers().get(name, "");
    }

    /** Returns all headers of the request. */
    public HttpHeaders headers() {
        return mRequest.headers();
    }

    /** Returns whether the client speaks HTTP/1.1, and so understands chunked responses. */
    public boolean isHttp11() {
        return mRequest.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }

    /** Returns the content length of the request in bytes, or -1 if the body is chunked. */
    public long bodyLengthBytes() {
        return HttpUtil.getContentLength(mRequest, -1L);
    }

    /** Requests the next part of the body. */
    public void readNextPart() {
        mChannel.read();
    }

    /**
     * Sends a response with the given body and takes ownership of the body; ignored if a response
     * has already been started.
     */
    public void respond(int status, HttpHeaders headers, boolean close, ByteBuf body) {
        if (mResponseStarted) {
            body.release();
            return;
        }
        mResponseStarted = true;
        HttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), body);
        response.headers().set(headers);
        HttpUtil.setContentLength(response, body.readableBytes());
        writeHead(response, close);
    }

    /** Sends the head of a chunked response. */
    public void startChunkedResponse(int status, HttpHeaders headers, boolean close) {
        if (mResponseStarted) {
            throw new IllegalStateException("response already started");
        }
        mResponseStarted = true;
        HttpResponse response =
                new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(headers);
        response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        writeHead(response, close);
    }

    /**
     * Sends a chunk of a started response and takes ownership of it; returns false if the write
     * buffer is full.
     */
    public boolean writeChunk(ByteBuf part) {
        mChannel.writeAndFlush(new DefaultHttpContent(part));
        return mChannel.isWritable();
    }

    /** Ends a started chunked response. */
    public void endChunkedResponse() {
        mChannel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    }

    /** Resets the connection, so that the client notices that a started response is incomplete. */
    public void resetConnection() {
        mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
        mChannel.close();
    }

    void markBodyComplete() {
        mBodyComplete = true;
    }

    private void writeHead(HttpResponse response, boolean close) {
        // After an early response, the rest of the request body would be read as the next request.
        if (close || !mKeepAlive || !mBodyComplete) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
        mChannel.writeAndFlush(response);
    }
}
