package org.lycheeroad.protocol.worker;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import org.lycheeroad.state.task.WorkerReport;

/**
 * A worker's answers to orders, in their order, and its report after them.
 *
 * @param report null when the report still has the version that the request named
 * @param renewed whether {@link OrdersRequest#renewAllMs} was obeyed
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record OrdersResponse(List<OrderResult> results, WorkerReport report, boolean renewed) {}
