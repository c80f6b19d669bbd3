package org.lycheeroad.transport.store;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.store.EtcdJson;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreFormatException;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpAnswer;
import org.lycheeroad.transport.http.HttpCallException;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.http.HttpLineListener;

/** Sends each call as one HTTP request to the etcd v3 gateway, without retries or limits. */
public final class HttpStoreClient implements StoreClient {
    private static final Map<String, String> HEADERS = Map.of("content-type", "application/json");

    private final HttpClient mHttp;
    private final HostPort mStore;
    private final long mTimeoutMillis;

    /**
     * Creates a client.
     *
     * @param timeoutMillis the time after which a call counts as failed, in milliseconds
     */
    public HttpStoreClient(HttpClient http, HostPort store, long timeoutMillis) {
        mHttp = http;
        mStore = store;
        mTimeoutMillis = timeoutMillis;
    }

    @Override
    public CompletableFuture<RangeResponse> range(
            Mechanism mechanism, String key, String rangeEnd) {
        byte[] body = EtcdJson.rangeRequest(key, rangeEnd);
        return call("/v3/kv/range", body, false, EtcdJson::parseRangeResponse);
    }

    @Override
    public CompletableFuture<TxnResponse> txn(Mechanism mechanism, StoreTxn txn) {
        return call("/v3/kv/txn", EtcdJson.txnRequest(txn), true, EtcdJson::parseTxnResponse);
    }

    @Override
    public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
        byte[] body = EtcdJson.leaseGrantRequest(ttlSeconds);
        return call("/v3/lease/grant", body, true, EtcdJson::parseLeaseId);
    }

    @Override
    public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
        byte[] body = EtcdJson.leaseRequest(lease);
        return call("/v3/lease/keepalive", body, true, EtcdJson::parseKeepAliveTtlSeconds);
    }

    @Override
    public CompletableFuture<Void> revoke(Mechanism mechanism, long lease) {
        return call("/v3/lease/revoke", EtcdJson.leaseRequest(lease), true, text -> null);
    }

    @Override
    public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
        byte[] body = EtcdJson.watchRequest(prefix, startRevision);
        return mHttp.stream(mStore, "POST", "/v3/watch", HEADERS, body, new AnswerReader(listener));
    }

    private <T> CompletableFuture<T> call(
            String path, byte[] body, boolean write, Parser<T> parser) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mHttp.call(mStore, "POST", path, HEADERS, body, mTimeoutMillis)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure != null) {
                                result.completeExceptionally(toException(path, failure, write));
                            } else {
                                complete(result, path, answer, write, parser);
                            }
                        });
        return result;
    }

    private static <T> void complete(
            CompletableFuture<T> result,
            String path,
            HttpAnswer answer,
            boolean write,
            Parser<T> parser) {
        StoreException.Kind unknown = unknownKind(write);
        if (answer.status() != 200) {
            // A status of 5xx can follow a write that took effect, such as after a proposal
            // timeout.
            boolean refused = answer.status() >= 400 && answer.status() < 500;
            String text = path + " answered " + answer.status() + ": " + answer.text();
            result.completeExceptionally(
                    new StoreException(
                            refused ? StoreException.Kind.REJECTED : unknown, text, null));
            return;
        }
        try {
            result.complete(parser.parse(answer.text()));
        } catch (StoreFormatException e) {
            result.completeExceptionally(new StoreException(unknown, path, e));
        }
    }

    private static StoreException toException(String path, Throwable failure, boolean write) {
        boolean sent =
                !(failure instanceof HttpCallException e
                        && e.kind() == HttpCallException.Kind.NOT_SENT);
        StoreException.Kind kind = sent ? unknownKind(write) : StoreException.Kind.UNAVAILABLE;
        return new StoreException(kind, path + " got no answer", failure);
    }

    private static StoreException.Kind unknownKind(boolean write) {
        return write ? StoreException.Kind.UNSETTLED : StoreException.Kind.UNAVAILABLE;
    }

    /** Reads an answer's body. */
    private interface Parser<T> {
        T parse(String text) throws StoreFormatException;
    }

    private static final class AnswerReader implements HttpLineListener {
        private final WatchListener mListener;
        private boolean mEnded;

        AnswerReader(WatchListener listener) {
            mListener = listener;
        }

        @Override
        public void onLine(String line) {
            if (mEnded || line.isBlank()) {
                return;
            }
            try {
                mListener.onAnswer(EtcdJson.parseWatchResponse(line));
            } catch (StoreFormatException e) {
                onEnd(e);
            }
        }

        @Override
        public void onEnd(Throwable cause) {
            if (!mEnded) {
                mEnded = true;
                mListener.onEnd(cause);
            }
        }
    }
}
