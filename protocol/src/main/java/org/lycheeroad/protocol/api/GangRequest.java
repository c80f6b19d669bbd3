package org.lycheeroad.protocol.api;

/** A caller's request to run a gang; times are in milliseconds. */
public record GangRequest(
        String team,
        String kind,
        String region,
        String shape,
        boolean urgent,
        long declaredMs,
        String payload,
        String idempotencyKey) {}
