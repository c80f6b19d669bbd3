package org.lycheeroad.transport.store;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.lycheeroad.protocol.store.EtcdJson;
import org.lycheeroad.protocol.store.RangeResponse;
import org.lycheeroad.protocol.store.StoreFormatException;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.protocol.store.TxnResponse;
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
     * @param timeoutMs the time after which a call fails
     */
    public HttpStoreClient(HttpClient http, HostPort store, long timeoutMs) {
        mHttp = http;
        mStore = store;
        mTimeoutMs = timeoutMs;
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
    public CompletableFuture<Long> keepAlive(Mechanism mechanism, long leaseId) {
        byte[] body = EtcdJson.leaseRequest(leaseId);
        return call("/v3/lease/keepalive", body, true, EtcdJson::parseKeepAliveTtlSeconds);
    }

    @Override
    public CompletableFuture<Void> revokeLease(Mechanism mechanism, long leaseId) {
        return call("/v3/lease/revoke", EtcdJson.leaseRequest(leaseId), true, text -> null);
    }

    @Override
    public AutoCloseable watch(String prefix, long startRevision, WatchListener listener) {
        byte[] body = EtcdJson.watchRequest(prefix, startRevision);
        return mHttp.streamLines(
                mStore, "POST", "/v3/watch", HEADERS, body, new WatchLineListener(listener));
    }

    private <T> CompletableFuture<T> call(
            String path, byte[] body, boolean isWrite, Parser<T> parser) {
        CompletableFuture<T> result = new CompletableFuture<>();
        mHttp.call(mStore, "POST", path, HEADERS, body, mTimeoutMs)
                .whenComplete(
                        (response, failure) -> {
                            if (failure != null) {
                                result.completeExceptionally(toException(path, failure, isWrite));
                            } else {
                                complete(result, path, response, isWrite, parser);
                            }
                        });
        return result;
    }

    private static <T> void complete(
            CompletableFuture<T> result,
            String path,
            BufferedHttpResponse response,
            boolean isWrite,
            Parser<T> parser) {
        StoreException.Kind kindIfUnknown = kindIfOutcomeUnknown(isWrite);
        if (response.status() != 200) {
            // A write may have taken effect despite a 5xx status, such as after a proposal timeout.
            boolean rejected = response.status() >= 400 && response.status() < 500;
            String text =
                    path + " responded with status " + response.status() + ": " + response.text();
            result.completeExceptionally(
                    new StoreException(
                            rejected ? StoreException.Kind.REJECTED : kindIfUnknown, text, null));
            return;
        }
        try {
            result.complete(parser.parse(response.text()));
        } catch (StoreFormatException e) {
            result.completeExceptionally(new StoreException(kindIfUnknown, path, e));
        }
    }

    private static StoreException toException(String path, Throwable failure, boolean isWrite) {
        boolean sent =
                !(failure instanceof HttpCallException e
                        && e.kind() == HttpCallException.Kind.NOT_SENT);
        StoreException.Kind kind =
                sent ? kindIfOutcomeUnknown(isWrite) : StoreException.Kind.UNAVAILABLE;
        return new StoreException(kind, path + " got no response", failure);
    }

    private static StoreException.Kind kindIfOutcomeUnknown(boolean isWrite) {
        return isWrite ? StoreException.Kind.UNSETTLED : StoreException.Kind.UNAVAILABLE;
    }

    /** Parses the body of a response. */
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
                mListener.onResponse(EtcdJson.parseWatchResponse(line));
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
