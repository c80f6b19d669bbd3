import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what happens in a case, with the seconds since its start, to record.txt and stdout. */
final class Record {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mWriter;

    Record(Path file) {
        try {
            mWriter = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8), true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    synchronized void add(String format, Object... arguments) {
        String text = arguments.length == 0 ? format : String.format(Locale.ROOT, format, arguments);
        String line = String.format(Locale.ROOT, "%8.3f %s", nowMs() / 1_000.0, text);
        mWriter.println(line);
        System.out.println(line);
    }

    /** Milliseconds since the start of the case, on the steady clock. */
    long nowMs() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }
}
