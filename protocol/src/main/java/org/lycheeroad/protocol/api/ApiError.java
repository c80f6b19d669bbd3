package org.lycheeroad.protocol.api;

/** An error response: the field at fault in the request and the reason; nothing has changed. */
public record ApiError(String field, String reason) {}
