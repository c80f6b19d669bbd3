package org.lycheeroad.scheduler.config;

import com.google.protobuf.ByteString;
import java.util.List;
import org.lycheeroad.scheduler.port.PlatformSchema;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.WorkerStatus;

/** Parses configurations that consist of only their version. */
final class VersionOnlySchema implements PlatformSchema {
    static final String CONFIG_KEY = "config";

    @Override
    public String configKey() {
        return CONFIG_KEY;
    }

    @Override
    public String workerKeyPrefix() {
        return "workers/";
    }

    @Override
    public String evacuationKeyPrefix() {
        return "evacuations/";
    }

    @Override
    public FailureDomainId parseEvacuation(String key) {
        throw new UnsupportedOperationException("parseEvacuation is not used in this test");
    }

    @Override
    public ClusterConfig parseConfig(ByteString value) {
        return new ClusterConfig(Long.parseLong(value.toStringUtf8()), List.of(), List.of());
    }

    @Override
    public WorkerStatus parseWorker(String key, ByteString value) {
        throw new UnsupportedOperationException("parseWorker is not used in this test");
    }
}
