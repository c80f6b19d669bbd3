package org.lycheeroad.protocol.api;

/** Reports invalid input of a caller; the request has had no effect. */
public record ValidationError(String field, String reason) {}
