package org.lycheeroad.protocol.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.state.id.EntryId;

class OrdersRequestTest {
    /** Guards against a renewal of all tasks that a worker cannot read for want of orders. */
    @Test
    void roundTripsWithoutOrders() throws Exception {
        OrdersRequest request =
                new OrdersRequest(new EntryId("e-1"), 3, List.of(), "1.2", 6_000, 1_700);

        assertThat(Json.read(Json.write(request), OrdersRequest.class)).isEqualTo(request);
    }
}
