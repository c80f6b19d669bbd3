package org.lycheeroad.cli;

import com.github.rvesse.airline.annotations.Option;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import org.lycheeroad.protocol.api.ApiError;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.transport.http.HttpAnswer;

/** Base of all commands: where the servers are and where output goes. */
public abstract class CliCommand {
    static final long CALL_MILLIS = 30_000;

    @Option(
            name = "--entry",
            description = "Entries, HOST:PORT joined by commas (default LYCHEEROAD_ENTRY)",
            title = "entry")
    String mEntry = "";

    @Option(
            name = "--ops",
            description = "Operators' addresses of the entries (default LYCHEEROAD_OPS)",
            title = "ops")
    String mOps = "";

    /**
     * Runs the command.
     *
     * @throws Exception if the command failed; its message is shown
     */
    abstract ExitCode run(PrintStream out, PrintStream err) throws Exception;

    Servers entries() {
        return new Servers(Servers.parse(setting(mEntry, "LYCHEEROAD_ENTRY"), "--entry"));
    }

    Servers operators() {
        return new Servers(Servers.parse(setting(mOps, "LYCHEEROAD_OPS"), "--ops"));
    }

    /** Returns the headers of operators' calls; the token comes only from the environment. */
    static Map<String, String> operatorHeaders() {
        Map<String, String> headers = new HashMap<>();
        String token = System.getenv("LYCHEEROAD_OPS_TOKEN");
        if (token != null && !token.isEmpty()) {
            headers.put("Authorization", "Bearer " + token);
        }
        return headers;
    }

    /** Shows why an entry refused a call. */
    static ExitCode report(HttpAnswer answer, PrintStream err) {
        err.println("lycheeroad: " + problem(answer));
        return answer.status() == 400 || answer.status() == 422 ? ExitCode.USAGE : ExitCode.FAILED;
    }

    /** Returns the option or field and the reason that an answer names, or its whole text. */
    static String problem(HttpAnswer answer) {
        try {
            ApiError problem = Json.read(answer.text(), ApiError.class);
            if (problem.field() != null && problem.reason() != null) {
                return option(problem.field()) + ": " + problem.reason();
            }
        } catch (JsonException e) {
            // The answer is plain text, which is shown as it is.
        }
        return "status " + answer.status() + ": " + answer.text().strip();
    }

    private static String option(String field) {
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

    private static String setting(String flag, String variable) {
        String value = System.getenv(variable);
        return flag.isEmpty() && value != null ? value : flag;
    }
}
