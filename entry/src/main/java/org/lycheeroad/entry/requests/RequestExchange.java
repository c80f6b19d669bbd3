package org.lycheeroad.entry.requests;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.lycheeroad.coordination.routing.AttemptOutcome;
import org.lycheeroad.coordination.routing.RequestOutcome;
import org.lycheeroad.coordination.routing.RoutingEvent;
import org.lycheeroad.protocol.api.RequestHeaders;
import org.lycheeroad.protocol.api.RequestResult;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.RequestId;
import org.lycheeroad.state.id.TargetId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.topology.TargetInfo;
import org.lycheeroad.transport.http.HttpStream;
import org.lycheeroad.transport.http.HttpStreamListener;
import org.lycheeroad.transport.target.RequestBody;

/**
 * One caller's request, from its first byte to the end of its response.
 *
 * <p>A request body of up to {@link #MAX_BUFFERED_BYTES} is buffered until the request ends, so
 * that it can be retried. A larger body is streamed and can be sent only once. The request is
 * submitted to the router when its body is completely buffered or exceeds that size, so that a slow
 * upload of a small body does not occupy a slot at a target.
 *
 * <p>Memory per request: up to {@link #MAX_BUFFERED_BYTES} plus one read buffer for the request
 * body, the same for the response, and two write buffers of 64 KB. The buffered parts of all
 * requests count against a shared {@link BufferBudget}.
 */
final class RequestExchange implements HttpStreamListener {
    /** Largest request or response body that is buffered; covers photos of a few hundred KB. */
    static final int MAX_BUFFERED_BYTES = 256 * 1024;

    /** Budget reserved for a streamed body in addition to the part buffered before streaming. */
    private static final int STREAMING_RESERVE_BYTES = 128 * 1024;

    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;

    /** Values parsed from the request headers; the deadline is relative to the arrival. */
    record RequestMetadata(
            TeamId team,
            KindId kind,
            boolean repeatable,
            String idempotencyKey,
            long deadlineMs,
            HttpHeaders forwardedHeaders) {}

    private final Forwarder mForwarder;
    private final RequestId mId;
    private final RequestMetadata mMetadata;
    private final HttpStream mStream;
    private final long mDeadlineMicros;
    private final Map<Integer, Attempt> mAttemptByNumber = new HashMap<>();
    private final List<ByteBuf> mBufferedParts = new ArrayList<>();
    private final Deque<ByteBuf> mStreamedParts = new ArrayDeque<>();
    private long mBufferedBytes;
    private long mReservedBytes;
    private boolean mBodyReceived;
    private boolean mStreamingBody;
    private boolean mStreamedBodyConsumed;
    private boolean mSubmittedToRouter;
    private boolean mCallerDisconnected;
    private boolean mEnded;
    private Attempt mStreamingAttempt;

    RequestExchange(
            Forwarder forwarder, RequestId id, RequestMetadata metadata, HttpStream stream) {
        mForwarder = forwarder;
        mId = id;
        mMetadata = metadata;
        mStream = stream;
        mDeadlineMicros = RouterLoop.nowMicros() + metadata.deadlineMs() * 1_000;
    }

    RequestMetadata metadata() {
        return mMetadata;
    }

    RequestId id() {
        return mId;
    }

    Forwarder forwarder() {
        return mForwarder;
    }

    @Override
    public void onBodyPart(ByteBuf part) {
        if (mEnded) {
            part.release();
            return;
        }
        if (mStreamingBody) {
            mStreamedParts.add(part);
            mAttemptByNumber.values().forEach(Attempt::resume);
            return;
        }
        if (!tryReserve(part.readableBytes())) {
            part.release();
            mForwarder.metrics().countShed("buffers");
            respondNotRun("buffers_full");
            return;
        }
        mBufferedParts.add(part);
        mBufferedBytes += part.readableBytes();
        if (mBufferedBytes <= MAX_BUFFERED_BYTES) {
            mStream.readNextPart();
        } else if (tryReserve(STREAMING_RESERVE_BYTES)) {
            mStreamingBody = true;
            mStreamedParts.addAll(mBufferedParts);
            mBufferedParts.clear();
            submitToRouter();
        } else {
            mForwarder.metrics().countShed("buffers");
            respondNotRun("buffers_full");
        }
    }

    @Override
    public void onBodyEnd() {
        mBodyReceived = true;
        if (mEnded) {
            return;
        }
        if (mStreamingBody) {
            mAttemptByNumber.values().forEach(Attempt::resume);
        } else {
            submitToRouter();
        }
    }

    @Override
    public void onWritable() {
        if (mStreamingAttempt != null) {
            mStreamingAttempt.readMore();
        }
    }

    @Override
    public void onConnectionClosed() {
        if (mEnded) {
            return;
        }
        mCallerDisconnected = true;
        recordEvent(EventCode.CALLER_GONE, "");
        if (!mSubmittedToRouter) {
            end("caller_gone");
            return;
        }
        mForwarder.routerLoop().send(new RoutingEvent.CallerDisconnected(mId));
        if ((mStreamingBody && !mBodyReceived) || mStreamingAttempt != null) {
            // The request body cannot be completed, or the response can no longer be delivered.
            abortAllAttempts();
        }
    }

    void dispatch(int number, TargetId target) {
        TargetInfo targetInfo = mForwarder.findTarget(target);
        if (mEnded) {
            mForwarder.reportLinkBytes(mId, number, 0, 0, false);
            return;
        }
        if (targetInfo == null || (mStreamingBody && mStreamedBodyConsumed)) {
            mForwarder.reportLinkBytes(mId, number, 0, 0, false);
            mForwarder
                    .routerLoop()
                    .send(new RoutingEvent.AttemptEnded(mId, number, AttemptOutcome.NOT_SENT));
            return;
        }
        recordEvent(EventCode.ATTEMPT_STARTED, number + " at " + target);
        Attempt attempt = new Attempt(this, number, targetInfo);
        mAttemptByNumber.put(number, attempt);
        attempt.start();
    }

    void abortAttempt(int number) {
        Attempt attempt = mAttemptByNumber.get(number);
        if (attempt != null) {
            attempt.abort();
        }
    }

    /** Ends the request with an outcome of the router instead of a target's response. */
    void respondRejected(RequestOutcome outcome, String reason) {
        if (mEnded) {
            return;
        }
        respond(outcome, reason);
        end(outcomeText(outcome) + " " + reason);
    }

    /** Ends the request with the response of an attempt; a streamed one has been sent already. */
    void respondWithAttempt(int number) {
        Attempt attempt = mAttemptByNumber.get(number);
        if (mEnded) {
            return;
        }
        if (attempt == null || !attempt.isComplete()) {
            respond(RequestOutcome.UNKNOWN, "answer_lost");
            end("unknown answer_lost");
            return;
        }
        String outcome = attempt.hasErrorStatus() ? "failed" : "done";
        if (!mCallerDisconnected && mStreamingAttempt == null) {
            HttpHeaders headers = attempt.callerHeaders();
            mStream.respond(attempt.status(), headers, false, attempt.takeBufferedBody());
        }
        mForwarder.metrics().countRequest(outcome);
        end(outcome + " attempt " + number);
    }

    /**
     * Starts to stream a response that is too large to buffer.
     *
     * @return false if another response is being streamed, the caller has disconnected or the
     *     request has ended
     */
    boolean tryStartStreaming(Attempt attempt) {
        if (mStreamingAttempt != null || mCallerDisconnected || mEnded) {
            return false;
        }
        mStreamingAttempt = attempt;
        mStream.startChunkedResponse(attempt.status(), attempt.callerHeaders(), false);
        return true;
    }

    boolean streamPart(ByteBuf part) {
        if (mCallerDisconnected || mEnded) {
            part.release();
            return true;
        }
        return mStream.writeChunk(part);
    }

    void onAttemptEnded(Attempt attempt, AttemptOutcome outcome, String reason) {
        recordEvent(EventCode.ATTEMPT_ENDED, attempt.number() + " " + outcome + " " + reason);
        mForwarder.metrics().countAttempt(outcome.name().toLowerCase(Locale.ROOT));
        boolean complete =
                outcome == AttemptOutcome.WHOLE || outcome == AttemptOutcome.FAILED_WHOLE;
        if (mStreamingAttempt == attempt && !mEnded) {
            if (complete && !mCallerDisconnected) {
                mStream.endChunkedResponse();
            } else {
                mStream.resetConnection();
                endAndNotifyRouter("unknown answer_cut");
            }
        } else if (!complete && mStreamingBody && mStreamedBodyConsumed && !mEnded) {
            // The body was streamed and cannot be sent again, so there is no further attempt.
            boolean refused =
                    outcome == AttemptOutcome.REFUSED_NOT_RUN
                            || outcome == AttemptOutcome.REFUSED_DRAINING;
            RequestOutcome reportedOutcome =
                    refused ? RequestOutcome.NOT_RUN : RequestOutcome.UNKNOWN;
            respond(reportedOutcome, refused ? "refused" : "broken");
            endAndNotifyRouter(outcomeText(reportedOutcome) + " body_not_kept");
        }
        mForwarder.routerLoop().send(new RoutingEvent.AttemptEnded(mId, attempt.number(), outcome));
        if (!complete) {
            mAttemptByNumber.remove(attempt.number());
        }
    }

    boolean tryReserve(long bytes) {
        if (mForwarder.bufferBudget().tryReserve(bytes)) {
            mReservedBytes += bytes;
            return true;
        }
        return false;
    }

    /** Returns a reader of the request body for one attempt. */
    RequestBody newBodyReader() {
        return mStreamingBody ? new StreamedBody() : new BufferedBody();
    }

    private void submitToRouter() {
        mSubmittedToRouter = true;
        RoutingEvent.RequestArrived event =
                new RoutingEvent.RequestArrived(
                        mId,
                        mMetadata.team(),
                        mMetadata.kind(),
                        mMetadata.repeatable(),
                        mDeadlineMicros);
        if (!mForwarder.routerLoop().offerRequest(event)) {
            mSubmittedToRouter = false;
            respondNotRun("overloaded");
        }
    }

    private void respondNotRun(String reason) {
        respond(RequestOutcome.NOT_RUN, reason);
        end("not-run " + reason);
    }

    private void respond(RequestOutcome outcome, String reason) {
        mForwarder.metrics().countRequest(outcomeText(outcome));
        if (mCallerDisconnected) {
            return;
        }
        if (mStreamingAttempt != null) {
            mStream.resetConnection();
            return;
        }
        mStream.respond(
                statusCode(outcome, reason),
                outcomeHeaders(outcome, reason),
                false,
                Unpooled.wrappedBuffer(
                        Json.write(new RequestResult(mId.value(), outcomeText(outcome), reason))
                                .getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpHeaders outcomeHeaders(RequestOutcome outcome, String reason) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        headers.set(RequestHeaders.OUTCOME, outcomeText(outcome));
        headers.set(RequestHeaders.REASON, reason);
        return headers;
    }

    private static int statusCode(RequestOutcome outcome, String reason) {
        if (outcome == RequestOutcome.UNKNOWN) {
            return GATEWAY_TIMEOUT;
        }
        return reason.equals("limit") || reason.equals("queue_full")
                ? TOO_MANY_REQUESTS
                : SERVICE_UNAVAILABLE;
    }

    private static String outcomeText(RequestOutcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Ends the request and tells the router to drop it. */
    private void endAndNotifyRouter(String text) {
        mForwarder.routerLoop().send(new RoutingEvent.CallerDisconnected(mId));
        end(text);
    }

    private void end(String text) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        recordEvent(EventCode.REQUEST_ANSWERED, text);
        abortAllAttempts();
        mAttemptByNumber.values().forEach(Attempt::releaseBufferedParts);
        mBufferedParts.forEach(ByteBuf::release);
        mBufferedParts.clear();
        mStreamedParts.forEach(ByteBuf::release);
        mStreamedParts.clear();
        mForwarder.bufferBudget().release(mReservedBytes);
        mReservedBytes = 0;
        mForwarder.remove(mId);
    }

    private void abortAllAttempts() {
        new ArrayList<>(mAttemptByNumber.values()).forEach(Attempt::abort);
    }

    private void recordEvent(EventCode code, String text) {
        mForwarder.eventLog().record(code, "", mId.value(), mMetadata.team().value(), text);
    }

    /** Reads a buffered body; each attempt reads it from the start. */
    private final class BufferedBody implements RequestBody {
        private int mNextPart;

        @Override
        public long lengthBytes() {
            return mBufferedBytes;
        }

        @Override
        public ByteBuf nextPart() {
            return mBufferedParts.get(mNextPart++).retainedDuplicate();
        }

        @Override
        public boolean isFinished() {
            return mNextPart >= mBufferedParts.size();
        }
    }

    /** Reads a streamed body, which can be consumed only once. */
    private final class StreamedBody implements RequestBody {
        @Override
        public long lengthBytes() {
            return mStream.bodyLengthBytes();
        }

        @Override
        public ByteBuf nextPart() {
            if (mStreamedParts.isEmpty() && !mBodyReceived && !mCallerDisconnected) {
                // The read may synchronously deliver a part.
                mStream.readNextPart();
            }
            ByteBuf part = mStreamedParts.poll();
            mStreamedBodyConsumed |= part != null;
            return part;
        }

        @Override
        public boolean isFinished() {
            return mBodyReceived && mStreamedParts.isEmpty();
        }
    }
}
