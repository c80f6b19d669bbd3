package org.lycheeroad.protocol.worker;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.task.Order;

/**
 * Orders from the placement owner to one worker, with the owner's fencing token.
 *
 * @param known the {@link ReportVersion} of the worker's report that the owner has, or null
 * @param renewAllMs the new lease of every running task in milliseconds; the worker grants it
 *     before it executes the orders, and only if its report still has the known version; 0 renews
 *     nothing
 * @param waitMs how long in milliseconds the worker may delay the response while its report does
 *     not change; applies only to a request without orders whose renewal the worker granted; 0 asks
 *     for an immediate response
 */
@JsonInclude(JsonInclude.Include.NON_DEFAULT)
public record OrdersRequest(
        EntryId owner, long token, List<Order> orders, String known, long renewAllMs, long waitMs) {
    /** Treats absent orders as an empty list, because an empty list is not written to JSON. */
    public OrdersRequest {
        orders = orders == null ? List.of() : List.copyOf(orders);
    }
}
