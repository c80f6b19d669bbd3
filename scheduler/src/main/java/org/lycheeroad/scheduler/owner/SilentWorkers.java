package org.lycheeroad.scheduler.owner;

import java.util.Map;

/**
 * The stored record of the workers that do not answer and may have runs.
 *
 * @param remainingMs by worker ID, the longest time for which leases that were granted to the
 *     worker may last after the record was written, in milliseconds on the clocks of VMs
 */
record SilentWorkers(Map<String, Long> remainingMs) {
    SilentWorkers {
        remainingMs = remainingMs == null ? Map.of() : Map.copyOf(remainingMs);
    }
}
