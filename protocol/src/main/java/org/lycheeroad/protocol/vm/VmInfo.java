package org.lycheeroad.protocol.vm;

/** One VM in the platform's VM list; numbers that do not apply to its role are 0. */
public record VmInfo(
        String id,
        String role,
        String host,
        int port,
        String region,
        String failureDomain,
        String rack,
        String state,
        int accelerators,
        int slots,
        int connections) {}
