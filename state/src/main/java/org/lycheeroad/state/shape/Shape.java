package org.lycheeroad.state.shape;

import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The accelerators that a gang requests: per worker, the number of workers and their adjacency. */
public record Shape(int workers, int acceleratorsPerWorker, Adjacency adjacency) {
    private static final Pattern FORMAT =
            Pattern.compile("(\\d{1,4})x(\\d{1,4})@(worker|rack|any)");

    public Shape {
        if (workers < 1 || acceleratorsPerWorker < 1) {
            throw new IllegalArgumentException("a shape needs at least one accelerator");
        }
        if (adjacency == Adjacency.WORKER && workers != 1) {
            throw new IllegalArgumentException("a shape on one worker has the form 1xN@worker");
        }
    }

    /**
     * Parses a shape such as {@code 2x8@rack}.
     *
     * @throws IllegalArgumentException if the text is not a valid shape
     */
    public static Shape parse(String text) {
        Matcher matcher = FORMAT.matcher(text.trim());
        if (!matcher.matches()) {
            throw new IllegalArgumentException(
                    "a shape has the form WORKERSxACCELERATORS@worker|rack|any: " + text);
        }
        return new Shape(
                Integer.parseInt(matcher.group(1)),
                Integer.parseInt(matcher.group(2)),
                Adjacency.valueOf(matcher.group(3).toUpperCase(Locale.ROOT)));
    }

    /** Returns the total number of accelerators on all workers. */
    public int accelerators() {
        return workers * acceleratorsPerWorker;
    }

    @Override
    public String toString() {
        String suffix = adjacency.name().toLowerCase(Locale.ROOT);
        return workers + "x" + acceleratorsPerWorker + "@" + suffix;
    }
}
