package org.lycheeroad.systemtests;

import java.io.File;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.state.topology.HostPort;

/** An entry daemon in a separate process, which can be killed, suspended and restarted. */
final class EntryProcess {
    private static final long EXIT_TIMEOUT_SECONDS = 40;

    private final String mId;
    private final String mRegion;
    private final String mFailureDomain;
    private final HostPort mCallerAddress;
    private final HostPort mPeerAddress;
    private final HostPort mOpsAddress;
    private final List<String> mFlags = new ArrayList<>();
    private Process mProcess;

    EntryProcess(String id, String region, String failureDomain, int firstPort) {
        mId = id;
        mRegion = region;
        mFailureDomain = failureDomain;
        mCallerAddress = new HostPort("127.0.0.1", firstPort);
        mPeerAddress = new HostPort("127.0.0.1", firstPort + 1);
        mOpsAddress = new HostPort("127.0.0.1", firstPort + 2);
    }

    String id() {
        return mId;
    }

    String region() {
        return mRegion;
    }

    HostPort callerAddress() {
        return mCallerAddress;
    }

    HostPort peerAddress() {
        return mPeerAddress;
    }

    HostPort opsAddress() {
        return mOpsAddress;
    }

    /** Returns the value that describes this entry in the {@code --peers} flag of another entry. */
    String peerFlagValue(HostPort connectAddress) {
        return mId + "/" + mRegion + "/" + mFailureDomain + "/" + format(connectAddress);
    }

    void start(List<String> flags) throws IOException {
        mFlags.clear();
        mFlags.addAll(flags);
        start();
    }

    /** Starts the process with the flags of the previous start. */
    void start() throws IOException {
        List<String> command = new ArrayList<>();
        command.add(System.getProperty("java.home") + "/bin/java");
        command.addAll(
                List.of(
                        "-Xmx32m",
                        "-Xss256k",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Dlogback.configurationFile=logback-entry.xml",
                        "-cp",
                        classPath(),
                        "org.lycheeroad.entry.EntryMain"));
        command.addAll(
                List.of(
                        "--entry-id",
                        mId,
                        "--region",
                        mRegion,
                        "--failure-domain",
                        mFailureDomain,
                        "--listen",
                        format(mCallerAddress),
                        "--peer-listen",
                        format(mPeerAddress),
                        "--ops-listen",
                        format(mOpsAddress)));
        command.addAll(mFlags);
        File log = new File("target/system-tests/" + mId + ".log");
        log.getParentFile().mkdirs();
        mProcess =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
                        .start();
    }

    /** Kills the process with SIGKILL and waits until it has exited. */
    void kill() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor();
    }

    /** Sends SIGTERM, as the platform does to end a process. */
    void terminate() {
        mProcess.destroy();
    }

    /** Waits for the process to exit; returns whether it exited with status 0 or 143 (SIGTERM). */
    boolean awaitCleanExit() throws InterruptedException {
        return mProcess.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)
                && (mProcess.exitValue() == 0 || mProcess.exitValue() == 143);
    }

    /** Suspends the process with SIGSTOP until {@link #resume} is called. */
    void suspend() throws IOException, InterruptedException {
        sendSignal("STOP");
    }

    void resume() throws IOException, InterruptedException {
        sendSignal("CONT");
    }

    boolean isAlive() {
        return mProcess != null && mProcess.isAlive();
    }

    private void sendSignal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(mProcess.pid())).start().waitFor();
    }

    private static String classPath() {
        // Surefire runs the tests from a jar whose manifest refers to the actual class path.
        return System.getProperty(
                "surefire.test.class.path", System.getProperty("java.class.path"));
    }

    static String format(HostPort address) {
        return address.host() + ":" + address.port();
    }
}
