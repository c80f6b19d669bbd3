package org.lycheeroad.protocol.api;

/** What is wrong with a caller's input; nothing has changed. */
public record ValidationError(String field, String reason) {}
