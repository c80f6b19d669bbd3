package org.lycheeroad.scheduler.port;

import com.google.protobuf.ByteString;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.WorkerEntry;

/** Where the platform keeps what it tells the scheduler, and how to read it. */
public interface PlatformSchema {
    /** Returns the key of the operators' configuration. */
    String configKey();

    /** Returns the prefix of the workers' entries. */
    String workerKeyPrefix();

    /** Reads a configuration. */
    ClusterConfig parseConfig(ByteString value) throws FormatException;

    /** Reads a worker's entry. */
    WorkerEntry parseWorker(String key, ByteString value) throws FormatException;

    /** Reports a value that cannot be read. */
    final class FormatException extends Exception {
        private static final long serialVersionUID = 1;

        public FormatException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
