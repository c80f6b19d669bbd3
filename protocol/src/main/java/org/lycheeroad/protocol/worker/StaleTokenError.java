package org.lycheeroad.protocol.worker;

/** A worker's refusal of orders because it has seen a newer fencing token. */
public record StaleTokenError(long token) {}
