package org.lycheeroad.standins.store;

/** A call that the store rejects, with the HTTP status and the gRPC code that etcd returns. */
final class EtcdException extends Exception {
    private static final long serialVersionUID = 1;

    private final int mHttpStatus;
    private final int mGrpcCode;

    EtcdException(int status, int code, String message) {
        super(message);
        mHttpStatus = status;
        mGrpcCode = code;
    }

    int httpStatus() {
        return mHttpStatus;
    }

    int grpcCode() {
        return mGrpcCode;
    }
}
