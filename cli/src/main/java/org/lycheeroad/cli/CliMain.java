package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Cli;
import com.github.rvesse.airline.annotations.Group;
import com.github.rvesse.airline.model.GlobalMetadata;
import com.github.rvesse.airline.parser.errors.ParseException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.lycheeroad.transport.http.HttpCallException;

/** Entry point of the {@code lycheeroad} command line. */
@Cli(
        name = "lycheeroad",
        description = "Operates lycheeroad entries and submits work to them",
        commands = {
            SubmitCommand.class,
            StatusCommand.class,
            CancelCommand.class,
            RequestCommand.class,
            TimelineCommand.class,
            ExplainCommand.class,
            EvacuationsCommand.class,
            BenchCommand.class,
            LocalCommand.class
        },
        groups = {
            @Group(
                    name = "table",
                    description = "Reads, checks and saves the operators' table",
                    commands = {
                        TableCommands.Get.class,
                        TableCommands.Check.class,
                        TableCommands.Diff.class,
                        TableCommands.Put.class
                    })
        })
public final class CliMain {
    private CliMain() {}

    /** Runs the command named by the arguments and ends the process with its exit code. */
    public static void main(String[] args) {
        System.exit(run(args, System.out, System.err).code());
    }

    /** Runs the command named by the arguments and returns its exit code. */
    public static ExitCode run(String[] args, PrintStream out, PrintStream err) {
        var cli = new com.github.rvesse.airline.Cli<CliCommand>(CliMain.class);
        List<String> arguments = List.of(args);
        try {
            if (arguments.isEmpty()
                    || arguments.get(0).equals("help")
                    || arguments.contains("--help")) {
                List<String> names =
                        arguments.stream()
                                .filter(w -> !w.startsWith("-") && !w.equals("help"))
                                .toList();
                printHelp(cli.getMetadata(), names, out);
                return arguments.isEmpty() ? ExitCode.USAGE : ExitCode.OK;
            }
            return cli.parse(args).run(out, err);
        } catch (ParseException | IllegalArgumentException e) {
            err.println("lycheeroad: " + e.getMessage() + " (see lycheeroad help)");
            return ExitCode.USAGE;
        } catch (HttpCallException e) {
            err.println("lycheeroad: " + e.getMessage());
            return e.kind() == HttpCallException.Kind.NOT_SENT
                    ? ExitCode.NOT_RUN
                    : ExitCode.UNKNOWN;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return ExitCode.UNKNOWN;
        } catch (Exception e) {
            err.println("lycheeroad: " + (e.getMessage() == null ? e : e.getMessage()));
            return ExitCode.FAILED;
        }
    }

    private static void printHelp(
            GlobalMetadata<CliCommand> cli, List<String> arguments, PrintStream out)
            throws IOException {
        com.github.rvesse.airline.help.Help.help(cli, arguments, out);
        out.write(
                "\nExit codes: 0 ok, 1 failed, 2 usage, 3 not run, 4 unknown\n"
                        .getBytes(StandardCharsets.UTF_8));
    }
}
