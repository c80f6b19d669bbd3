package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.state.id.JobId;
import org.lycheeroad.state.job.JobState;
import org.lycheeroad.transport.http.BufferedHttpResponse;
import org.lycheeroad.transport.http.HttpCallException;

/** Prints the state of a job, or of the entries if no job is named. */
@Command(name = "status", description = "Shows a job, or the entries if no job is named")
public final class StatusCommand extends CliCommand {
    private static final long POLL_INTERVAL_MS = 200;

    @Arguments(description = "Job", title = "job")
    String mJob;

    @Option(name = "--wait", description = "Waits until the job has ended")
    boolean mWait;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        if (mJob == null) {
            try (FailoverClient client = connectOps()) {
                BufferedHttpResponse answer =
                        client.callWithFailover(
                                true, ServerCall.of("GET", "/ops/v1/status", opsHeaders()));
                out.println(answer.text());
                return answer.status() == 200 ? ExitCode.OK : ExitCode.FAILED;
            }
        }
        try (FailoverClient client = connectEntries()) {
            GangStatus status = mWait ? awaitFinalState(client, mJob) : fetchStatus(client, mJob);
            out.println(format(status));
            return ExitCode.fromOutcome(status.state());
        }
    }

    static GangStatus awaitFinalState(FailoverClient client, String job)
            throws HttpCallException, InterruptedException, IOException, JsonException {
        while (true) {
            GangStatus status = fetchStatus(client, job);
            if (JobState.valueOf(status.state()).isFinal()) {
                return status;
            }
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    static String format(GangStatus status) {
        String reason = status.reason() == null ? "" : " " + status.reason();
        return status.job() + " " + status.state() + reason;
    }

    /**
     * Returns the URL path of a job.
     *
     * @throws IllegalArgumentException if the text is not a valid job id
     */
    static String jobPath(String job) {
        return "/v1/gangs/" + new JobId(job);
    }

    private static GangStatus fetchStatus(FailoverClient client, String job)
            throws HttpCallException, InterruptedException, IOException, JsonException {
        // An entry that did not accept the job itself learns of it through its store watch and may
        // still answer 404, so the next entry is tried.
        BufferedHttpResponse answer =
                client.callWithFailover(
                        true, a -> a.status() == 404, ServerCall.of("GET", jobPath(job), Map.of()));
        if (answer.status() != 200) {
            throw new IOException(describeError(answer));
        }
        return Json.read(answer.text(), GangStatus.class);
    }
}
