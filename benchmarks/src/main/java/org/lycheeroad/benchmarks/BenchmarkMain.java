package org.lycheeroad.benchmarks;

import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.CommandLineOptionException;
import org.openjdk.jmh.runner.options.CommandLineOptions;

/** Runs the JMH benchmarks with the options of JMH's own command line. */
public final class BenchmarkMain {
    private BenchmarkMain() {}

    /** Runs the benchmarks. */
    public static void main(String[] args) throws RunnerException, CommandLineOptionException {
        new Runner(new CommandLineOptions(args)).run();
    }
}
