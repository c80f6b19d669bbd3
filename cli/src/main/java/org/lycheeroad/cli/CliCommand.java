package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.protocol.api.ApiError;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.transport.http.BufferedHttpResponse;

/** Base class of all commands, with the options and environment variables that name the servers. */
public abstract class CliCommand {
    static final long CALL_TIMEOUT_MS = 30_000;

    @Option(
            name = "--entry",
            description = "Entries, HOST:PORT joined by commas (default LYCHEEROAD_ENTRY)",
            title = "entry")
    String mEntryAddresses = "";

    @Option(
            name = "--ops",
            description = "Operators' addresses of the entries (default LYCHEEROAD_OPS)",
            title = "ops")
    String mOpsAddresses = "";

    /**
     * Runs the command.
     *
     * @throws Exception if the command failed; {@link CliMain} prints its message
     */
    abstract ExitCode run(PrintStream out, PrintStream err) throws Exception;

    FailoverClient connectEntries() {
        return new FailoverClient(
                FailoverClient.parseAddresses(
                        optionOrEnvironment(mEntryAddresses, "LYCHEEROAD_ENTRY"), "--entry"));
    }

    FailoverClient connectOps() {
        return new FailoverClient(
                FailoverClient.parseAddresses(
                        optionOrEnvironment(mOpsAddresses, "LYCHEEROAD_OPS"), "--ops"));
    }

    /**
     * Returns the headers for calls to the operators' API; the token is read from the environment
     * only, never from an option.
     */
    static Map<String, String> opsHeaders() {
        Map<String, String> headers = new HashMap<>();
        String token = System.getenv("LYCHEEROAD_OPS_TOKEN");
        if (token != null && !token.isEmpty()) {
            headers.put("Authorization", "Bearer " + token);
        }
        return headers;
    }

    /** Prints why an entry rejected a call and returns the matching exit code. */
    static ExitCode reportError(BufferedHttpResponse answer, PrintStream err) {
        err.println("lycheeroad: " + describeError(answer));
        return answer.status() == 400 || answer.status() == 422 ? ExitCode.USAGE : ExitCode.FAILED;
    }

    /**
     * Returns the option and the reason that an error response names, or its status and whole text.
     */
    static String describeError(BufferedHttpResponse answer) {
        try {
            ApiError problem = Json.read(answer.text(), ApiError.class);
            if (problem.field() != null && problem.reason() != null) {
                return optionName(problem.field()) + ": " + problem.reason();
            }
        } catch (JsonException e) {
            // The response is plain text, which is returned unchanged.
        }
        return "status " + answer.status() + ": " + answer.text().strip();
    }

    private static String optionName(String field) {
        return switch (field) {
            case "job" -> "job";
            case "declaredMs" -> "--declared-ms";
            case "idempotencyKey" -> "--key";
            default -> "--" + field;
        };
    }

    static byte[] utf8(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static String optionOrEnvironment(String flag, String variable) {
        String value = System.getenv(variable);
        return flag.isEmpty() && value != null ? value : flag;
    }
}
