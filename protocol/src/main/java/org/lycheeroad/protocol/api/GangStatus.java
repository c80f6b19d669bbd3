package org.lycheeroad.protocol.api;

/** The state of a gang as returned to callers. */
public record GangStatus(String job, String state, String reason) {}
