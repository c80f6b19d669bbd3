package org.lycheeroad.benchmarks.requests;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.SynchronizedHistogram;

/**
 * Sends the same load through an entry and directly to targets, and prints the latencies of both.
 *
 * <p>Latency is measured from the planned send time of each request, so that a stall shows in all
 * requests that it delays (no coordinated omission). Both loads run at the same time, so that other
 * activity on the machine affects both.
 */
public final class EntryLoad {
    /**
     * The number of connections per route; with 64, each is idle most of the time at up to a few
     * thousand requests per second.
     */
    private static final int CONNECTIONS = 64;

    private static final int MAX_PER_SECOND = 10_000;
    private static final int MAX_SECONDS = 120;
    private static final long MAX_LATENCY_MICROS = 60_000_000;
    private static final String CONTENT_LENGTH_HEADER = "content-length:";

    private EntryLoad() {}

    /** One of the two routes of the load, with its latencies in microseconds. */
    private static final class Route {
        final String mPath;
        final List<String> mAddresses;
        final SynchronizedHistogram mLatency = new SynchronizedHistogram(MAX_LATENCY_MICROS, 3);
        final AtomicInteger mErrors = new AtomicInteger();

        Route(String path, List<String> addresses) {
            mPath = path;
            mAddresses = addresses;
        }
    }

    /**
     * Runs one load: REQUESTS_PER_SECOND SECONDS WORK_MS ENTRY TARGET[,TARGET...].
     *
     * @throws IllegalArgumentException if the load is too high for a test machine
     */
    public static void main(String[] args) throws InterruptedException {
        int perSecond = Integer.parseInt(args[0]);
        int seconds = Integer.parseInt(args[1]);
        String body = "work-ms=" + Integer.parseInt(args[2]);
        if (perSecond > MAX_PER_SECOND || seconds > MAX_SECONDS) {
            throw new IllegalArgumentException(
                    "load too high: at most 10000 requests per second for 120 s are allowed");
        }
        Route entry = new Route("/v1/requests/check", List.of(args[3]));
        Route direct = new Route("/run/check", List.of(args[4].split(",", -1)));
        long startNanos = System.nanoTime() + 100_000_000L;
        List<Thread> threads = new ArrayList<>();
        for (Route route : List.of(entry, direct)) {
            for (int i = 0; i < CONNECTIONS; i++) {
                int connectionIndex = i;
                Thread thread =
                        new Thread(
                                () ->
                                        sendRequests(
                                                route,
                                                connectionIndex,
                                                startNanos,
                                                perSecond,
                                                seconds,
                                                body));
                thread.start();
                threads.add(thread);
            }
        }
        for (Thread thread : threads) {
            thread.join();
        }
        System.out.printf(
                Locale.ROOT,
                "requests %d errors %d direct-errors %d p50-us %d direct-p50-us %d p99-us %d"
                        + " direct-p99-us %d%n",
                entry.mLatency.getTotalCount(),
                entry.mErrors.get(),
                direct.mErrors.get(),
                entry.mLatency.getValueAtPercentile(50),
                direct.mLatency.getValueAtPercentile(50),
                entry.mLatency.getValueAtPercentile(99),
                direct.mLatency.getValueAtPercentile(99));
    }

    /**
     * Sends the share of the requests that belongs to one connection of a route.
     *
     * <p>A broken connection counts as one error and is not replaced.
     */
    private static void sendRequests(
            Route route,
            int connectionIndex,
            long startNanos,
            int perSecond,
            int seconds,
            String body) {
        String address = route.mAddresses.get(connectionIndex % route.mAddresses.size());
        int colon = address.lastIndexOf(':');
        int port = Integer.parseInt(address.substring(colon + 1));
        try (Socket socket = new Socket(address.substring(0, colon), port)) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            for (long i = connectionIndex; i < (long) perSecond * seconds; i += CONNECTIONS) {
                long plannedNanos = startNanos + i * 1_000_000_000L / perSecond;
                long remainingNanos;
                while ((remainingNanos = plannedNanos - System.nanoTime()) > 0) {
                    LockSupport.parkNanos(remainingNanos);
                }
                socket.getOutputStream().write(encodeRequest(route.mPath, i, body));
                if (readStatus(in) == 200) {
                    route.mLatency.recordValue((System.nanoTime() - plannedNanos) / 1_000);
                } else {
                    route.mErrors.incrementAndGet();
                }
            }
        } catch (IOException e) {
            route.mErrors.incrementAndGet();
        }
    }

    private static byte[] encodeRequest(String path, long number, String body) {
        return ("POST "
                        + path
                        + " HTTP/1.1\r\nHost: x\r\nLycheeroad-Team: bench\r\n"
                        + "Lycheeroad-Attempt: direct."
                        + number
                        + "\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.US_ASCII);
    }

    /** Reads one HTTP response with a Content-Length header and returns its status. */
    private static int readStatus(InputStream in) throws IOException {
        String line = readLine(in);
        int status = Integer.parseInt(line.substring(9, 12));
        int length = 0;
        for (line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            if (line.toLowerCase(Locale.ROOT).startsWith(CONTENT_LENGTH_HEADER)) {
                length = Integer.parseInt(line.substring(CONTENT_LENGTH_HEADER.length()).trim());
            }
        }
        in.skipNBytes(length);
        return status;
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException("connection closed before the end of the response");
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
