package org.lycheeroad.transport.store;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.store.RangeAnswer;
import org.lycheeroad.protocol.store.StoreFormatException;
import org.lycheeroad.protocol.store.StoreJson;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnAnswer;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpCallException;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.http.HttpLineListener;

/** Sends each call as one HTTP request to the etcd v3 gateway, without retries or limits. */
public final class HttpStoreClient implements StoreClient {
    private static final Map<String, String> HEADERS = Map.of("content-type", "application/json");

    private final HttpClient mHttp;
    private final HostPort mStore;
    private final long mTimeoutMs;

    /**
     * Creates a client.
     *
     * @param timeoutMillis the time after which a call counts as failed, in milliseconds
     */
    public HttpStoreClient(HttpClient http, HostPort store, long timeoutMillis) {
        mHttp = http;
        mStore = store;
        mTimeoutMs = timeoutMillis;
    }

    @Override
    public CompletableFuture<RangeAnswer> range(Mechanism mechanism, String key, String rangeEnd) {
        byte[] body = StoreJson.range(key, rangeEnd);
        return call("/v3/kv/range", body, false, StoreJson::parseRange);
    }

    @Override
    public CompletableFuture<TxnAnswer> txn(Mechanism mechanism, StoreTxn txn) {
        return call("/v3/kv/txn", StoreJson.txn(txn), true, StoreJson::parseTxn);
    }

    @Override
    public CompletableFuture<Long> grantLease(Mechanism mechanism, long ttlSeconds) {
        byte[] body = StoreJson.leaseGrant(ttlSeconds);
        return call("/v3/lease/grant", body, true, StoreJson::parseLeaseId);
    }

    @Override
    public CompletableFuture<Long> keepAlive(Mechanism mechanism, long lease) {
        byte[] body = StoreJson.lease(lease);
        return call("/v3/lease/keepalive", body, true, StoreJson::parseKeepAliveTtl);
    }

    @Override
    public CompletableFuture<Void> revokeLease(Mechanism mechanism, long lease) {
        return call("/v3/lease/revoke", StoreJson.lease(lease), true, text -> null);
    }

    @Override
    public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
        byte[] body = StoreJson.watch(prefix, startRevision);
        return mHttp.streamLines(
                mStore, "POST", "/v3/watch", HEADERS, body, new WatchLineListener(listener));
    }

    private <T> CompletableFuture<T> call(
            String path, byte[] body, boolean write, Parser<T> parser) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mHttp.call(mStore, "POST", path, HEADERS, body, mTimeoutMs)
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
            BufferedHttpResponse answer,
            boolean write,
            Parser<T> parser) {
        StoreException.Kind unknown = kindWithoutResponse(write);
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
        StoreException.Kind kind =
                sent ? kindWithoutResponse(write) : StoreException.Kind.UNAVAILABLE;
        return new StoreException(kind, path + " got no answer", failure);
    }

    private static StoreException.Kind kindWithoutResponse(boolean write) {
        return write ? StoreException.Kind.UNSETTLED : StoreException.Kind.UNAVAILABLE;
    }

    /** Reads an answer's body. */
    private interface Parser<T> {
        T parse(String text) throws StoreFormatException;
    }

    private static final class WatchLineListener implements HttpLineListener {
        private final WatchListener mListener;
        private boolean mEnded;

        WatchLineListener(WatchListener listener) {
            mListener = listener;
        }

        @Override
        public void onLine(String line) {
            if (mEnded || line.isBlank()) {
                return;
            }
            try {
                mListener.onResponse(StoreJson.parseWatch(line));
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
