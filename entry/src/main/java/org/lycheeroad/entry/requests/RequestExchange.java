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
import org.lycheeroad.coordination.routing.Outcome;
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
import org.lycheeroad.transport.http.StreamHandler;
import org.lycheeroad.transport.target.RequestBody;

/**
 * One caller's request from its first byte to the end of its answer.
 *
 * <p>A body of at most {@link #KEPT_BYTES} is kept whole until the request ends, so that it can be
 * sent again. A larger one is passed on while it arrives, once. The request reaches the router when
 * its body is kept or has outgrown the bound, so that a slow upload of a small body holds no slot.
 *
 * <p>Memory of one request: {@link #KEPT_BYTES} and one read buffer of the body, the same of the
 * answer, and two write buffers of 64 KB; the kept parts of all requests share a {@link
 * BufferBudget}.
 */
final class RequestExchange implements StreamHandler {
    /** Bodies and answers up to this size are kept whole; covers photos of a few hundred KB. */
    static final int KEPT_BYTES = 256 * 1024;

    /** What is reserved for a body that is passed on while it arrives, beside its first part. */
    private static final int STREAM_RESERVE = 128 * 1024;

    private static final int TOO_MANY = 429;
    private static final int UNAVAILABLE = 503;
    private static final int TIMEOUT = 504;

    /** What the headers of a request say; the deadline is in milliseconds from its arrival. */
    record Head(
            TeamId team,
            KindId kind,
            boolean repeatable,
            String idempotencyKey,
            long deadlineMs,
            HttpHeaders forwarded) {}

    private final Forwarder mForwarder;
    private final RequestId mId;
    private final Head mHead;
    private final HttpStream mStream;
    private final long mDeadlineMicros;
    private final Map<Integer, Attempt> mAttempts = new HashMap<>();
    private final List<ByteBuf> mKept = new ArrayList<>();
    private final Deque<ByteBuf> mPassing = new ArrayDeque<>();
    private long mKeptBytes;
    private long mReserved;
    private boolean mBodyEnded;
    private boolean mPassThrough;
    private boolean mBodyConsumed;
    private boolean mArrived;
    private boolean mCallerGone;
    private boolean mEnded;
    private Attempt mRelayed;

    RequestExchange(Forwarder forwarder, RequestId id, Head head, HttpStream stream) {
        mForwarder = forwarder;
        mId = id;
        mHead = head;
        mStream = stream;
        mDeadlineMicros = RouterDuty.nowMicros() + head.deadlineMs() * 1_000;
    }

    Head head() {
        return mHead;
    }

    RequestId id() {
        return mId;
    }

    Forwarder forwarder() {
        return mForwarder;
    }

    @Override
    public void onPart(ByteBuf part) {
        if (mEnded) {
            part.release();
            return;
        }
        if (mPassThrough) {
            mPassing.add(part);
            mAttempts.values().forEach(Attempt::resume);
            return;
        }
        if (!reserve(part.readableBytes())) {
            part.release();
            mForwarder.metrics().shed("buffers");
            refuse("buffers_full");
            return;
        }
        mKept.add(part);
        mKeptBytes += part.readableBytes();
        if (mKeptBytes <= KEPT_BYTES) {
            mStream.read();
        } else if (reserve(STREAM_RESERVE)) {
            mPassThrough = true;
            mPassing.addAll(mKept);
            mKept.clear();
            arrive();
        } else {
            mForwarder.metrics().shed("buffers");
            refuse("buffers_full");
        }
    }

    @Override
    public void onBodyEnd() {
        mBodyEnded = true;
        if (mEnded) {
            return;
        }
        if (mPassThrough) {
            mAttempts.values().forEach(Attempt::resume);
        } else {
            arrive();
        }
    }

    @Override
    public void onWritable() {
        if (mRelayed != null) {
            mRelayed.readMore();
        }
    }

    @Override
    public void onClosed() {
        if (mEnded) {
            return;
        }
        mCallerGone = true;
        record(EventCode.CALLER_GONE, "");
        if (!mArrived) {
            end("caller_gone");
            return;
        }
        mForwarder.router().send(new RoutingEvent.CallerGone(mId));
        if ((mPassThrough && !mBodyEnded) || mRelayed != null) {
            // The rest of the body cannot arrive, or the rest of the answer cannot leave.
            abortAll();
        }
    }

    void dispatch(int number, TargetId target) {
        TargetInfo info = mForwarder.target(target);
        if (mEnded) {
            mForwarder.linkBytes(mId, number, 0, 0, false);
            return;
        }
        if (info == null || (mPassThrough && mBodyConsumed)) {
            mForwarder.linkBytes(mId, number, 0, 0, false);
            mForwarder
                    .router()
                    .send(new RoutingEvent.AttemptEnded(mId, number, AttemptOutcome.NOT_SENT));
            return;
        }
        record(EventCode.ATTEMPT_STARTED, number + " at " + target);
        Attempt attempt = new Attempt(this, number, info);
        mAttempts.put(number, attempt);
        attempt.start();
    }

    void abort(int number) {
        Attempt attempt = mAttempts.get(number);
        if (attempt != null) {
            attempt.abort();
        }
    }

    /** Ends the request without a target's answer, as the router decided. */
    void reject(Outcome outcome, String reason) {
        if (mEnded) {
            return;
        }
        answer(outcome, reason);
        end(text(outcome) + " " + reason);
    }

    /** Passes the kept answer of an attempt to the caller. */
    void finish(int number) {
        Attempt attempt = mAttempts.get(number);
        if (mEnded) {
            return;
        }
        if (attempt == null || !attempt.isWhole()) {
            answer(Outcome.UNKNOWN, "answer_lost");
            end("unknown answer_lost");
            return;
        }
        String outcome = attempt.isFailed() ? "failed" : "done";
        if (!mCallerGone && mRelayed == null) {
            HttpHeaders headers = attempt.callerHeaders();
            mStream.answer(attempt.status(), headers, false, attempt.takeBody());
        }
        mForwarder.metrics().request(outcome);
        end(outcome + " attempt " + number);
    }

    /** Starts to relay an answer that is too large to keep; returns false if another one is. */
    boolean startRelay(Attempt attempt) {
        if (mRelayed != null || mCallerGone || mEnded) {
            return false;
        }
        mRelayed = attempt;
        mStream.start(attempt.status(), attempt.callerHeaders(), false);
        return true;
    }

    boolean relay(ByteBuf part) {
        if (mCallerGone || mEnded) {
            part.release();
            return true;
        }
        return mStream.write(part);
    }

    void attemptEnded(Attempt attempt, AttemptOutcome outcome, String reason) {
        record(EventCode.ATTEMPT_ENDED, attempt.number() + " " + outcome + " " + reason);
        mForwarder.metrics().attempt(outcome.name().toLowerCase(Locale.ROOT));
        boolean whole = outcome == AttemptOutcome.WHOLE || outcome == AttemptOutcome.FAILED_WHOLE;
        if (mRelayed == attempt && !mEnded) {
            if (whole && !mCallerGone) {
                mStream.finish();
            } else {
                mStream.reset();
                endUnanswered("unknown answer_cut");
            }
        } else if (!whole && mPassThrough && mBodyConsumed && !mEnded) {
            // The body is spent, so that no other attempt can be made.
            boolean refused =
                    outcome == AttemptOutcome.REFUSED_NOT_RUN
                            || outcome == AttemptOutcome.REFUSED_DRAINING;
            Outcome told = refused ? Outcome.NOT_RUN : Outcome.UNKNOWN;
            answer(told, refused ? "refused" : "broken");
            endUnanswered(text(told) + " body_not_kept");
        }
        mForwarder.router().send(new RoutingEvent.AttemptEnded(mId, attempt.number(), outcome));
        if (!whole) {
            mAttempts.remove(attempt.number());
        }
    }

    boolean reserve(long bytes) {
        if (mForwarder.budget().tryReserve(bytes)) {
            mReserved += bytes;
            return true;
        }
        return false;
    }

    /** Returns the body for one attempt. */
    RequestBody body() {
        return mPassThrough ? new PassingBody() : new KeptBody();
    }

    private void arrive() {
        mArrived = true;
        RoutingEvent.RequestArrived event =
                new RoutingEvent.RequestArrived(
                        mId, mHead.team(), mHead.kind(), mHead.repeatable(), mDeadlineMicros);
        if (!mForwarder.router().arrive(event)) {
            mArrived = false;
            refuse("overloaded");
        }
    }

    private void refuse(String reason) {
        answer(Outcome.NOT_RUN, reason);
        end("not-run " + reason);
    }

    private void answer(Outcome outcome, String reason) {
        mForwarder.metrics().request(text(outcome));
        if (mCallerGone) {
            return;
        }
        if (mRelayed != null) {
            mStream.reset();
            return;
        }
        mStream.answer(
                status(outcome, reason),
                outcomeHeaders(outcome, reason),
                false,
                Unpooled.wrappedBuffer(
                        Json.write(new RequestResult(mId.value(), text(outcome), reason))
                                .getBytes(StandardCharsets.UTF_8)));
    }

    private static HttpHeaders outcomeHeaders(Outcome outcome, String reason) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        headers.set(RequestHeaders.OUTCOME, text(outcome));
        headers.set(RequestHeaders.REASON, reason);
        return headers;
    }

    private static int status(Outcome outcome, String reason) {
        if (outcome == Outcome.UNKNOWN) {
            return TIMEOUT;
        }
        return reason.equals("limit") || reason.equals("queue_full") ? TOO_MANY : UNAVAILABLE;
    }

    private static String text(Outcome outcome) {
        return outcome.name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Ends the request on this side and tells the router to forget it. */
    private void endUnanswered(String text) {
        mForwarder.router().send(new RoutingEvent.CallerGone(mId));
        end(text);
    }

    private void end(String text) {
        if (mEnded) {
            return;
        }
        mEnded = true;
        record(EventCode.REQUEST_ANSWERED, text);
        abortAll();
        mAttempts.values().forEach(Attempt::discard);
        mKept.forEach(ByteBuf::release);
        mKept.clear();
        mPassing.forEach(ByteBuf::release);
        mPassing.clear();
        mForwarder.budget().release(mReserved);
        mReserved = 0;
        mForwarder.forget(mId);
    }

    private void abortAll() {
        new ArrayList<>(mAttempts.values()).forEach(Attempt::abort);
    }

    private void record(EventCode code, String text) {
        mForwarder.events().record(code, "", mId.value(), mHead.team().value(), text);
    }

    /** A body that is kept whole; each attempt reads it from the start. */
    private final class KeptBody implements RequestBody {
        private int mNext;

        @Override
        public long length() {
            return mKeptBytes;
        }

        @Override
        public ByteBuf next() {
            return mKept.get(mNext++).retainedDuplicate();
        }

        @Override
        public boolean isFinished() {
            return mNext >= mKept.size();
        }
    }

    /** A body that is passed on while it arrives. */
    private final class PassingBody implements RequestBody {
        @Override
        public long length() {
            return mStream.bodyLength();
        }

        @Override
        public ByteBuf next() {
            if (mPassing.isEmpty() && !mBodyEnded && !mCallerGone) {
                // The read may deliver a part at once.
                mStream.read();
            }
            ByteBuf part = mPassing.poll();
            mBodyConsumed |= part != null;
            return part;
        }

        @Override
        public boolean isFinished() {
            return mBodyEnded && mPassing.isEmpty();
        }
    }
}
