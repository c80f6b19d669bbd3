package org.lycheeroad.scheduler.port;

import com.google.protobuf.ByteString;
import org.lycheeroad.state.work.ClusterConfig;
import org.lycheeroad.state.work.WorkerStatus;

/** Where the platform keeps what it tells the scheduler, and how to read it. */
public interface Catalog {
    /** Returns the key of the operators' configuration. */
    String configKey();

    /** Returns the prefix of the workers' entries. */
    String workerPrefix();

    /** Reads a configuration. */
    ClusterConfig readConfig(ByteString value) throws FormatException;

    /** Reads a worker's entry. */
    WorkerStatus readWorker(String key, ByteString value) throws FormatException;

    /** Reports a value that cannot be read. */
    final class FormatException extends Exception {
        private static final long serialVersionUID = 1;

        public FormatException(String message, Throwable cause) {
            super(message, cause);
        }
    }
}
