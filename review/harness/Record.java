package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the milliseconds since the start of the case. */
final class Record implements AutoCloseable {
    private final long mStartNanos = System.nanoTime();
    private final PrintWriter mWriter;

    Record(Path file) {
        try {
            mWriter =
                    new PrintWriter(
                            Files.newBufferedWriter(file, StandardCharsets.UTF_8),
                            /* autoFlush= */ true);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    long nowMs() {
        return (System.nanoTime() - mStartNanos) / 1_000_000;
    }

    synchronized void line(String format, Object... arguments) {
        mWriter.println(String.format("%7d %s", nowMs(), String.format(format, arguments)));
    }

    @Override
    public void close() {
        mWriter.close();
    }
}
