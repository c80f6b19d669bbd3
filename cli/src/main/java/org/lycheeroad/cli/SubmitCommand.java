package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.Map;
import java.util.UUID;
import org.lycheeroad.protocol.api.GangRequest;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Submits a gang job. */
@Command(name = "submit", description = "Submits a gang job")
public final class SubmitCommand extends CliCommand {
    @Option(name = "--team", description = "Team", title = "team")
    @Required
    String mTeam;

    @Option(name = "--kind", description = "Kind of work", title = "kind")
    @Required
    String mKind;

    @Option(name = "--region", description = "Region", title = "region")
    @Required
    String mRegion;

    @Option(name = "--shape", description = "Shape, such as 2x8@rack", title = "shape")
    @Required
    String mShape;

    @Option(name = "--urgent", description = "Starts within 8.6 s or is not run")
    boolean mUrgent;

    @Option(
            name = "--declared-ms",
            description = "Declared run time in milliseconds",
            title = "declared-ms")
    long mDeclaredMillis = 60_000;

    @Option(name = "--payload", description = "Text passed to the workers", title = "payload")
    String mPayload = "";

    @Option(name = "--key", description = "Idempotency key (default: a new one)", title = "key")
    String mKey = UUID.randomUUID().toString();

    @Option(name = "--wait", description = "Waits until the job has ended")
    boolean mWait;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        GangRequest gang =
                new GangRequest(
                        mTeam, mKind, mRegion, mShape, mUrgent, mDeclaredMillis, mPayload, mKey);
        try (FailoverClient client = connectEntries()) {
            byte[] body = utf8(Json.write(gang));
            BufferedHttpResponse answer =
                    client.callWithFailover(
                            true,
                            new ServerCall(
                                    "POST",
                                    "/v1/gangs",
                                    Map.of("Content-Type", "application/json"),
                                    body,
                                    CALL_TIMEOUT_MS));
            if (answer.status() != 202 && answer.status() != 503 && answer.status() != 504) {
                return reportError(answer, err);
            }
            GangStatus status = Json.read(answer.text(), GangStatus.class);
            if (mWait && answer.status() == 202) {
                status = StatusCommand.awaitFinalState(client, status.job());
            }
            out.println(StatusCommand.format(status));
            return ExitCode.fromOutcome(status.state());
        }
    }
}
