package org.lycheeroad.protocol.api;

/** The outcome of a request that got no response from a target, as returned to the caller. */
public record RequestResult(String request, String outcome, String reason) {}
