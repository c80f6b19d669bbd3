package org.lycheeroad.entry.requests;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import org.lycheeroad.coordination.routing.AttemptOutcome;
import org.lycheeroad.protocol.api.RequestHeaders;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.transport.target.AttemptEnd;
import org.lycheeroad.transport.target.TargetExchange;
import org.lycheeroad.transport.target.TargetResponseListener;

/**
 * One attempt to run a request on a target.
 *
 * <p>A response of up to {@link RequestExchange#MAX_BUFFERED_BYTES} is buffered until it is
 * complete, so that the caller never receives part of a response that fails. A larger response is
 * streamed.
 */
final class Attempt implements TargetResponseListener {
    private static final int MIN_ERROR_STATUS = 400;
    private static final int MIN_SERVER_ERROR_STATUS = 500;

    private final RequestExchange mRequest;
    private final int mNumber;
    private final TargetInfo mTarget;
    private final List<ByteBuf> mBufferedParts = new ArrayList<>();
    private final boolean mInOtherRegion;
    private TargetExchange mExchange;
    private HttpResponse mResponseHead;
    private long mBufferedBytes;
    private long mSentBytes;
    private long mReceivedBytes;
    private boolean mStreaming;
    private boolean mAbortRequested;
    private boolean mEnded;
    private boolean mComplete;

    Attempt(RequestExchange request, int number, TargetInfo target) {
        mRequest = request;
        mNumber = number;
        mTarget = target;
        mInOtherRegion = request.forwarder().isInOtherRegion(target);
    }

    void start() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(mRequest.metadata().forwardedHeaders());
        headers.set(RequestHeaders.REQUEST, mRequest.id().value());
        headers.set(RequestHeaders.TEAM, mRequest.metadata().team().value());
        var body = mRequest.newBodyReader();
        TargetExchange exchange =
                mRequest.forwarder()
                        .targetClient()
                        .send(
                                mTarget.address(),
                                "/run/" + mRequest.metadata().kind(),
                                headers,
                                mRequest.id() + "." + mNumber,
                                body,
                                this);
        mExchange = exchange;
        if (mAbortRequested) {
            exchange.abort();
        }
    }

    int number() {
        return mNumber;
    }

    boolean isComplete() {
        return mComplete;
    }

    /** Returns whether the status of the target's response is 400 or above. */
    boolean hasErrorStatus() {
        return mResponseHead.status().code() >= MIN_ERROR_STATUS;
    }

    int status() {
        return mResponseHead.status().code();
    }

    void resume() {
        if (mExchange != null && !mEnded) {
            mExchange.resumeSending();
        }
    }

    void readMore() {
        if (mExchange != null && !mEnded) {
            mExchange.readNextPart();
        }
    }

    void abort() {
        mAbortRequested = true;
        if (mExchange != null && !mEnded) {
            mExchange.abort();
        }
    }

    /** Returns the headers of the response to the caller. */
    HttpHeaders callerHeaders() {
        HttpHeaders headers = ForwardedHeaders.endToEnd(mResponseHead.headers());
        headers.remove(RequestHeaders.ATTEMPT);
        headers.set(RequestHeaders.REQUEST, mRequest.id().value());
        headers.set(RequestHeaders.OUTCOME, hasErrorStatus() ? "failed" : "done");
        headers.set(RequestHeaders.REASON, hasErrorStatus() ? "target_status" : "whole");
        return headers;
    }

    /** Returns the buffered response body, whose ownership passes to the calling method. */
    ByteBuf takeBufferedBody() {
        ByteBuf body = Unpooled.wrappedBuffer(mBufferedParts.toArray(new ByteBuf[0]));
        mBufferedParts.clear();
        return body;
    }

    void releaseBufferedParts() {
        mBufferedParts.forEach(ByteBuf::release);
        mBufferedParts.clear();
    }

    @Override
    public void onResponseHead(HttpResponse head) {
        mResponseHead = head;
    }

    @Override
    public boolean onBodyPart(ByteBuf part) {
        int partBytes = part.readableBytes();
        if (mStreaming) {
            return mRequest.streamPart(part);
        }
        if (mBufferedBytes + partBytes <= RequestExchange.MAX_BUFFERED_BYTES
                && mRequest.tryReserve(partBytes)) {
            mBufferedParts.add(part);
            mBufferedBytes += partBytes;
            return true;
        }
        if (!mRequest.tryStartStreaming(this)) {
            part.release();
            abort();
            return false;
        }
        mStreaming = true;
        mBufferedParts.forEach(mRequest::streamPart);
        mBufferedParts.clear();
        return mRequest.streamPart(part);
    }

    @Override
    public void onBytesTransferred(int sentBytes, int receivedBytes) {
        if (mInOtherRegion) {
            mSentBytes += sentBytes;
            mReceivedBytes += receivedBytes;
            mRequest.forwarder().metrics().countInterRegionBytes(sentBytes, receivedBytes);
        }
    }

    @Override
    public void onEnd(AttemptEnd end, String reason) {
        mEnded = true;
        mComplete = end == AttemptEnd.WHOLE;
        if (!mComplete) {
            releaseBufferedParts();
        }
        if (mInOtherRegion) {
            mRequest.forwarder()
                    .reportLinkBytes(mRequest.id(), mNumber, mSentBytes, mReceivedBytes, mComplete);
        }
        mRequest.onAttemptEnded(this, toOutcome(end), reason);
    }

    private AttemptOutcome toOutcome(AttemptEnd end) {
        return switch (end) {
            case WHOLE ->
                    status() >= MIN_SERVER_ERROR_STATUS
                            ? AttemptOutcome.FAILED_WHOLE
                            : AttemptOutcome.WHOLE;
            case REFUSED -> AttemptOutcome.REFUSED_NOT_RUN;
            case DRAINING -> AttemptOutcome.REFUSED_DRAINING;
            case NOT_SENT -> AttemptOutcome.NOT_SENT;
            case BROKEN -> AttemptOutcome.BROKEN;
        };
    }
}
