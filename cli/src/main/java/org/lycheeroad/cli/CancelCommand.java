package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.Map;
import org.lycheeroad.protocol.api.GangStatus;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Cancels a job. */
@Command(name = "cancel", description = "Cancels a job")
public final class CancelCommand extends CliCommand {
    @Arguments(description = "Job", title = "job")
    @Required
    String mJob;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        String path = StatusCommand.jobPath(mJob);
        try (FailoverClient client = connectEntries()) {
            BufferedHttpResponse answer =
                    client.callWithFailover(true, ServerCall.of("DELETE", path, Map.of()));
            if (answer.status() != 200 && answer.status() != 504) {
                return reportError(answer, err);
            }
            out.println(StatusCommand.format(Json.read(answer.text(), GangStatus.class)));
            return answer.status() == 200 ? ExitCode.OK : ExitCode.UNKNOWN;
        }
    }
}
