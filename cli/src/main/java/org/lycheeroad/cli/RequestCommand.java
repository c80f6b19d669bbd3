package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.HashMap;
import java.util.Map;
import java.util.UUID;
import org.lycheeroad.protocol.api.RequestHeaders;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Sends one request and prints the response. */
@Command(name = "request", description = "Sends one request and prints its answer")
public final class RequestCommand extends CliCommand {
    @Arguments(description = "Kind of request", title = "kind")
    @Required
    String mKind;

    @Option(name = "--team", description = "Team", title = "team")
    @Required
    String mTeam;

    @Option(name = "--data", description = "Body of the request", title = "data")
    String mData = "";

    @Option(name = "--not-repeatable", description = "Runs at most once")
    boolean mNotRepeatable;

    @Option(name = "--key", description = "Idempotency key (default: a new one)", title = "key")
    String mKey = UUID.randomUUID().toString();

    @Option(name = "--deadline-ms", description = "Deadline in milliseconds", title = "deadline-ms")
    long mDeadlineMillis = 10_000;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        String path = "/v1/requests/" + new KindId(mKind);
        if (mDeadlineMillis <= 0) {
            throw new IllegalArgumentException("--deadline-ms must be above 0");
        }
        Map<String, String> headers = new HashMap<>();
        headers.put(RequestHeaders.TEAM, mTeam);
        headers.put(RequestHeaders.IDEMPOTENCY_KEY, mKey);
        headers.put(RequestHeaders.DEADLINE_MS, Long.toString(mDeadlineMillis));
        if (mNotRepeatable) {
            headers.put(RequestHeaders.NOT_REPEATABLE, "true");
        }
        try (FailoverClient client = connectEntries()) {
            // The idempotency key and the claim stored for it make it safe to retry through another
            // entry.
            BufferedHttpResponse answer =
                    client.callWithFailover(
                            true,
                            new ServerCall(
                                    "POST",
                                    path,
                                    headers,
                                    utf8(mData),
                                    mDeadlineMillis + CALL_TIMEOUT_MS));
            out.print(answer.text());
            String outcome = answer.header(RequestHeaders.OUTCOME);
            String reason = answer.header(RequestHeaders.REASON);
            if (!outcome.equals("done")) {
                err.println("status " + answer.status() + " " + outcome + " " + reason);
            }
            return outcome.isEmpty() ? ExitCode.FAILED : ExitCode.fromOutcome(outcome);
        }
    }
}
