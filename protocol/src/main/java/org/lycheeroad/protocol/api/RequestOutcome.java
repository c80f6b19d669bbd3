package org.lycheeroad.protocol.api;

/** What a caller is told about a request that has no answer of a target. */
public record RequestOutcome(String request, String outcome, String reason) {}
