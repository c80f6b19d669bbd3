package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Command;
import java.io.PrintStream;

/** Prints how to start all processes on one machine. */
@Command(name = "local", description = "Tells how to start everything on one machine")
public final class LocalCommand extends CliCommand {
    @Override
    ExitCode run(PrintStream out, PrintStream err) {
        out.println("bin/demo starts a store, a VM list, targets, workers and 8 entries as");
        out.println("separate processes on loopback, and ends them when it ends. With");
        out.println("DEMO_KEEP_SECONDS=600 it keeps them running for that time after the demo");
        out.println("and prints the settings for this command line.");
        return ExitCode.OK;
    }
}
