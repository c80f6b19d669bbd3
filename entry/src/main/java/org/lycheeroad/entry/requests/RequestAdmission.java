package org.lycheeroad.entry.requests;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.lycheeroad.protocol.api.ApiError;
import org.lycheeroad.protocol.api.RequestHeaders;
import org.lycheeroad.protocol.api.RequestResult;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;
import org.lycheeroad.transport.http.HttpStream;
import org.lycheeroad.transport.http.HttpStreamListener;

/** Validates the headers of new requests and admits them to the forwarder. */
public final class RequestAdmission {
    private static final long DEFAULT_DEADLINE_MS = 30_000;
    private static final long MAX_DEADLINE_MS = 3_600_000;
    private static final int MAX_IDEMPOTENCY_KEY_LENGTH = 200;
    private static final HttpStreamListener BODY_DISCARDER = new BodyDiscarder();

    private final Forwarder mForwarder;
    private final Supplier<Optional<OperatorTable>> mTable;
    private final BooleanSupplier mDraining;

    /** Creates the admission; new requests are rejected while {@code draining} is true. */
    public RequestAdmission(
            Forwarder forwarder,
            Supplier<Optional<OperatorTable>> currentTable,
            BooleanSupplier draining) {
        mForwarder = forwarder;
        mTable = currentTable;
        mDraining = draining;
    }

    /** Starts a request, or answers it immediately if it is invalid or cannot be accepted. */
    public HttpStreamListener admit(HttpStream stream, String kindText) {
        if (!stream.isHttp11()) {
            return respondInvalid(stream, 505, "version", "HTTP/1.1 is required");
        }
        RequestExchange.RequestMetadata metadata;
        try {
            metadata = parseMetadata(stream, kindText);
        } catch (IllegalArgumentException e) {
            return respondInvalid(stream, 400, "request", e.getMessage());
        }
        if (mDraining.getAsBoolean()) {
            return respondNotRun(stream, "draining");
        }
        RequestExchange exchange = mForwarder.tryOpen(stream, metadata);
        if (exchange == null) {
            return respondNotRun(stream, "overloaded");
        }
        return exchange;
    }

    private RequestExchange.RequestMetadata parseMetadata(HttpStream stream, String kindText) {
        TeamId team = new TeamId(stream.header(RequestHeaders.TEAM));
        KindId kind = new KindId(kindText);
        boolean repeatable = !"true".equalsIgnoreCase(stream.header(RequestHeaders.NOT_REPEATABLE));
        String idempotencyKey = stream.header(RequestHeaders.IDEMPOTENCY_KEY);
        if (!repeatable && idempotencyKey.isEmpty()) {
            throw new IllegalArgumentException(
                    RequestHeaders.IDEMPOTENCY_KEY
                            + " is needed with "
                            + RequestHeaders.NOT_REPEATABLE);
        }
        if (idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_LENGTH) {
            throw new IllegalArgumentException(
                    RequestHeaders.IDEMPOTENCY_KEY
                            + " must have at most "
                            + MAX_IDEMPOTENCY_KEY_LENGTH
                            + " characters");
        }
        HttpHeaders forwardedHeaders = ForwardedHeaders.endToEnd(stream.headers());
        forwardedHeaders.remove(RequestHeaders.TEAM);
        forwardedHeaders.remove(RequestHeaders.ATTEMPT);
        forwardedHeaders.remove(RequestHeaders.DEADLINE_MS);
        return new RequestExchange.RequestMetadata(
                team,
                kind,
                repeatable,
                idempotencyKey,
                deadlineMs(stream, team, kind),
                forwardedHeaders);
    }

    private long deadlineMs(HttpStream stream, TeamId team, KindId kind) {
        String headerValue = stream.header(RequestHeaders.DEADLINE_MS);
        if (!headerValue.isEmpty()) {
            long deadlineMs;
            try {
                deadlineMs = Long.parseLong(headerValue);
            } catch (NumberFormatException e) {
                throw new IllegalArgumentException(
                        RequestHeaders.DEADLINE_MS + " must be a whole number", e);
            }
            if (deadlineMs < 1) {
                throw new IllegalArgumentException(
                        RequestHeaders.DEADLINE_MS + " must be positive");
            }
            return Math.min(deadlineMs, MAX_DEADLINE_MS);
        }
        return mTable.get().stream()
                .flatMap(table -> table.rows().stream())
                .filter(row -> row.work() == WorkClass.REQUEST)
                .filter(row -> row.team().equals(team) && row.kind().equals(kind))
                .mapToLong(TableRow::deadlineMs)
                .filter(ms -> ms > 0)
                .findFirst()
                .orElse(DEFAULT_DEADLINE_MS);
    }

    private HttpStreamListener respondNotRun(HttpStream stream, String reason) {
        mForwarder.metrics().countRequest("not-run");
        return respond(stream, 503, reason, Json.write(new RequestResult("", "not-run", reason)));
    }

    private HttpStreamListener respondInvalid(
            HttpStream stream, int status, String field, String reason) {
        mForwarder.metrics().countRequest("invalid");
        return respond(stream, status, "invalid", Json.write(new ApiError(field, reason)));
    }

    private static HttpStreamListener respond(
            HttpStream stream, int status, String reason, String json) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
        headers.set(RequestHeaders.OUTCOME, "not-run");
        headers.set(RequestHeaders.REASON, reason);
        stream.respond(
                status,
                headers,
                true,
                Unpooled.wrappedBuffer(json.getBytes(StandardCharsets.UTF_8)));
        return BODY_DISCARDER;
    }

    private static final class BodyDiscarder implements HttpStreamListener {
        @Override
        public void onBodyPart(ByteBuf part) {
            part.release();
        }

        @Override
        public void onBodyEnd() {}

        @Override
        public void onWritable() {}

        @Override
        public void onConnectionClosed() {}
    }
}
