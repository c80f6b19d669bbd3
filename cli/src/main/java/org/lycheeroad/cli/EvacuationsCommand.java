package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Prints the failure domains in which the owner among some daemons starts no runs. */
@Command(
        name = "evacuations",
        description = "Shows the failure domains that are evacuated, one a line")
public final class EvacuationsCommand extends CliCommand {
    private static final String PATH = "/v1/evacuations";
    private static final int OK = 200;
    private static final int NOT_OWNER = 404;

    @Required
    @Arguments(description = "Addresses of daemons for their peers", title = "host:port")
    List<String> mPeers;

    @Override
    ExitCode run(PrintStream out, PrintStream err) throws Exception {
        try (FailoverClient client =
                new FailoverClient(
                        FailoverClient.parseAddresses(String.join(",", mPeers), "host:port"))) {
            BufferedHttpResponse answer =
                    client.callWithFailover(
                            true,
                            response -> response.status() == NOT_OWNER,
                            ServerCall.of("GET", PATH, Map.of()));
            if (answer.status() == NOT_OWNER) {
                err.println("lycheeroad: none of these daemons is the owner");
                return ExitCode.FAILED;
            }
            if (answer.status() != OK) {
                return reportError(answer, err);
            }
            out.print(answer.text());
            return ExitCode.OK;
        }
    }
}
