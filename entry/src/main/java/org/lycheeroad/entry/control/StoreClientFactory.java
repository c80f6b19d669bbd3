package org.lycheeroad.entry.control;

import io.netty.channel.EventLoopGroup;
import java.util.Random;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.store.HttpStoreClient;
import org.lycheeroad.transport.store.RateLimitedStoreClient;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreLimits;

/** Creates clients of the platform's store. */
final class StoreClientFactory {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int CALL_TIMEOUT_MILLIS = 1_000;

    /** All watched keys are read in one response. */
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

    private StoreClientFactory() {}

    /** Creates a client with a rate limit and a circuit breaker. */
    static StoreClient create(ControlSettings settings, EventLoopGroup eventLoopGroup) {
        return new RateLimitedStoreClient(
                new HttpStoreClient(
                        new HttpClient(eventLoopGroup, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES),
                        settings.storeAddress(),
                        CALL_TIMEOUT_MILLIS),
                eventLoopGroup,
                StoreLimits.defaults(),
                new Random(settings.instance()));
    }
}
