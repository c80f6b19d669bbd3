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
 * One attempt of a request at a target.
 *
 * <p>An answer of at most {@link RequestExchange#KEPT_BYTES} is kept until its end, so that the
 * caller receives no byte of an answer that breaks. A larger one is relayed while it arrives.
 */
final class Attempt implements TargetResponseListener {
    private static final int ERROR_STATUS = 400;
    private static final int FAILED_STATUS = 500;

    private final RequestExchange mRequest;
    private final int mNumber;
    private final TargetInfo mTarget;
    private final List<ByteBuf> mKept = new ArrayList<>();
    private final boolean mRemote;
    private TargetExchange mExchange;
    private HttpResponse mHead;
    private long mKeptBytes;
    private long mSentBytes;
    private long mReceivedBytes;
    private boolean mRelaying;
    private boolean mAbortRequested;
    private boolean mEnded;
    private boolean mWhole;

    Attempt(RequestExchange request, int number, TargetInfo target) {
        mRequest = request;
        mNumber = number;
        mTarget = target;
        mRemote = request.forwarder().isRemote(target);
    }

    void start() {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(mRequest.head().forwarded());
        headers.set(RequestHeaders.REQUEST, mRequest.id().value());
        headers.set(RequestHeaders.TEAM, mRequest.head().team().value());
        var body = mRequest.body();
        TargetExchange exchange =
                mRequest.forwarder()
                        .targets()
                        .send(
                                mTarget.address(),
                                "/run/" + mRequest.head().kind(),
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

    boolean isWhole() {
        return mWhole;
    }

    /** Returns whether the target answered with an error status. */
    boolean isFailed() {
        return mHead.status().code() >= ERROR_STATUS;
    }

    int status() {
        return mHead.status().code();
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

    /** Returns the headers of the answer for the caller. */
    HttpHeaders callerHeaders() {
        HttpHeaders headers = ForwardedHeaders.endToEnd(mHead.headers());
        headers.remove(RequestHeaders.ATTEMPT);
        headers.set(RequestHeaders.REQUEST, mRequest.id().value());
        headers.set(RequestHeaders.OUTCOME, isFailed() ? "failed" : "done");
        headers.set(RequestHeaders.REASON, isFailed() ? "target_status" : "whole");
        return headers;
    }

    /** Returns the kept answer; the caller releases it. */
    ByteBuf takeBody() {
        ByteBuf body = Unpooled.wrappedBuffer(mKept.toArray(new ByteBuf[0]));
        mKept.clear();
        return body;
    }

    void discard() {
        mKept.forEach(ByteBuf::release);
        mKept.clear();
    }

    @Override
    public void onResponseHead(HttpResponse head) {
        mHead = head;
    }

    @Override
    public boolean onBodyPart(ByteBuf part) {
        int bytes = part.readableBytes();
        if (mRelaying) {
            return mRequest.relay(part);
        }
        if (mKeptBytes + bytes <= RequestExchange.KEPT_BYTES && mRequest.reserve(bytes)) {
            mKept.add(part);
            mKeptBytes += bytes;
            return true;
        }
        if (!mRequest.startRelay(this)) {
            part.release();
            abort();
            return false;
        }
        mRelaying = true;
        mKept.forEach(mRequest::relay);
        mKept.clear();
        return mRequest.relay(part);
    }

    @Override
    public void onBytesTransferred(int sent, int received) {
        if (mRemote) {
            mSentBytes += sent;
            mReceivedBytes += received;
            mRequest.forwarder().metrics().regionBytes(sent, received);
        }
    }

    @Override
    public void onEnd(AttemptEnd end, String reason) {
        mEnded = true;
        mWhole = end == AttemptEnd.WHOLE;
        if (!mWhole) {
            discard();
        }
        if (mRemote) {
            mRequest.forwarder()
                    .linkBytes(mRequest.id(), mNumber, mSentBytes, mReceivedBytes, mWhole);
        }
        mRequest.attemptEnded(this, outcome(end), reason);
    }

    private AttemptOutcome outcome(AttemptEnd end) {
        return switch (end) {
            case WHOLE ->
                    status() >= FAILED_STATUS ? AttemptOutcome.FAILED_WHOLE : AttemptOutcome.WHOLE;
            case REFUSED -> AttemptOutcome.REFUSED_NOT_RUN;
            case DRAINING -> AttemptOutcome.REFUSED_DRAINING;
            case NOT_SENT -> AttemptOutcome.NOT_SENT;
            case BROKEN -> AttemptOutcome.BROKEN;
        };
    }
}
