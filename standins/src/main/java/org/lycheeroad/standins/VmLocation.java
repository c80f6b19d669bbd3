package org.lycheeroad.standins;

import org.lycheeroad.protocol.vm.VmInfo;

/** Location of all VMs of one stand-in process, and the common prefix of their ids. */
public record VmLocation(String idPrefix, String region, String failureDomain, String rack) {
    /** Returns the VM-list entry of a live VM at this location. */
    public VmInfo liveVm(
            String id,
            String role,
            String host,
            int port,
            int accelerators,
            int slots,
            int connections) {
        return new VmInfo(
                id,
                role,
                host,
                port,
                region,
                failureDomain,
                rack,
                "live",
                accelerators,
                slots,
                connections);
    }
}
