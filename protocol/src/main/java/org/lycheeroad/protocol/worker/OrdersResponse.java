package org.lycheeroad.protocol.worker;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.lycheeroad.state.task.WorkerReport;

/**
 * A worker's response to {@link OrdersRequest}: the results in the sequence of the orders, and the
 * worker's report after their execution.
 *
 * @param report null if the report still has the version that the request names
 * @param renewed whether the leases were renewed as {@link OrdersRequest#renewAllMs} asks
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record OrdersResponse(List<OrderResult> results, WorkerReport report, boolean renewed) {}
