package org.lycheeroad.protocol.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.id.EntryId;

class OrdersRequestTest {
    /**
     * Guards against a request that only renews leases being unreadable: empty lists are not
     * written, so the worker reads the orders as null.
     */
    @Test
    void roundTripsWithoutOrders() throws Exception {
        OrdersRequest request =
                new OrdersRequest(new EntryId("e-1"), 3, List.of(), "1.2", 6_000, 1_700);

        assertThat(Json.read(Json.write(request), OrdersRequest.class)).isEqualTo(request);
    }
}
