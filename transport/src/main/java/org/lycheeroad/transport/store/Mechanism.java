package org.lycheeroad.transport.store;

/** The purpose of a store call, by which calls are counted and prioritized. */
public enum Mechanism {
    /** Role leases, elections and the probe that checks whether the store responds. */
    ROLES,
    /** Membership leases and keys of the entries. */
    MEMBERS,
    /** Reads and writes of the operators' configuration table. */
    TABLE,
    /** Creation and updates of jobs. */
    JOBS,
    /** Claims of requests that are not repeatable, and the leases of the claims. */
    CLAIMS,
    /** Watches and the reads that precede them. */
    WATCH
}
