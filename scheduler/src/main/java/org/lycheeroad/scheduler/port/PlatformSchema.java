package org.lycheeroad.scheduler.port;

import com.google.protobuf.ByteString;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.WorkerStatus;

/** The keys and formats in which the platform stores the configuration and the worker entries. */
public interface PlatformSchema {
    /** Returns the key of the operators' configuration. */
    String configKey();

    /** Returns the prefix of the keys of the worker entries. */
    String workerKeyPrefix();

    /** Returns the prefix of the operators' keys that each request the evacuation of a domain. */
    String evacuationKeyPrefix();

    /** Parses the key of an evacuation; the request stands as long as the key exists. */
    FailureDomainId parseEvacuation(String key) throws FormatException;

    /** Parses a configuration. */
    ClusterConfig parseConfig(ByteString value) throws FormatException;

    /** Parses a worker entry. */
    WorkerStatus parseWorker(String key, ByteString value) throws FormatException;

    /** Thrown when a stored value cannot be parsed. */
    final class FormatException extends Exception {
        private static final long serialVersionUID = 1;

        public FormatException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
