package org.lycheeroad.state.work;

/**
 * The configuration of a service.
 *
 * @param workersRefuseOverload whether workers themselves refuse what does not fit
 */
public record ServiceConfig(ServiceName name, boolean workersRefuseOverload) {}
