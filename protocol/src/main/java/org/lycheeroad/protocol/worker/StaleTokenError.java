package org.lycheeroad.protocol.worker;

/**
 * A worker's rejection of orders with a stale fencing token; holds the newest token it has seen.
 */
public record StaleTokenError(long token) {}
