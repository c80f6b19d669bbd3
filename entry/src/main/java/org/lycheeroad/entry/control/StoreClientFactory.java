package org.lycheeroad.entry.control;

import io.netty.channel.EventLoopGroup;
import java.util.Random;
import org.lycheeroad.transport.http.HttpClient;
import org.lycheeroad.transport.store.GuardedStoreClient;
import org.lycheeroad.transport.store.HttpStoreClient;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreLimits;

/** Creates the connection of an entry to the platform's store. */
final class StoreClientFactory {
    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    private static final int CALL_TIMEOUT_MILLIS = 1_000;

    /** All watched keys come in one answer. */
    private static final int MAX_RESPONSE_BYTES = 32 * 1024 * 1024;

    private StoreClientFactory() {}

    /** Returns a client that limits its rate and stops calling while the store fails. */
    static StoreClient create(ControlSettings settings, EventLoopGroup group) {
        return new GuardedStoreClient(
                new HttpStoreClient(
                        new HttpClient(group, CONNECT_TIMEOUT_MILLIS, MAX_RESPONSE_BYTES),
                        settings.storeAddress(),
                        CALL_TIMEOUT_MILLIS),
                group,
                StoreLimits.defaults(),
                new Random(settings.instance()));
    }
}
