package org.lycheeroad.systemtests;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.lycheeroad.state.topology.HostPort;

/**
 * A TCP proxy in front of one entry's peer address that simulates network partitions: it can hold
 * back the bytes sent from one entry to another.
 *
 * <p>The entry that opened a connection is identified by the id in its first message. Bytes that
 * were held back are delivered when the partition ends, as TCP does.
 */
final class PartitionProxy implements AutoCloseable {
    private static final Pattern ENTRY_ID = Pattern.compile("entry-\\d+");
    private static final int CONNECT_TIMEOUT_MS = 1_000;
    private static final long POLL_INTERVAL_MS = 10;

    /** The blocked directions as {@code from>to}, shared by all proxies. */
    private final Set<String> mBlockedDirections;

    private final String mServerEntryId;
    private final HostPort mServerEntryAddress;
    private final ServerSocket mServerSocket;
    private final Set<Socket> mOpenSockets = ConcurrentHashMap.newKeySet();

    PartitionProxy(String serverEntryId, HostPort serverEntryAddress, Set<String> blockedDirections)
            throws IOException {
        mServerEntryId = serverEntryId;
        mServerEntryAddress = serverEntryAddress;
        mBlockedDirections = blockedDirections;
        mServerSocket = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(this::acceptConnections);
    }

    HostPort address() {
        return new HostPort("127.0.0.1", mServerSocket.getLocalPort());
    }

    @Override
    public void close() throws IOException {
        mServerSocket.close();
        for (Socket socket : mOpenSockets) {
            socket.close();
        }
    }

    private void acceptConnections() throws IOException {
        while (!mServerSocket.isClosed()) {
            Socket client = mServerSocket.accept();
            startDaemonThread(() -> forwardConnection(client));
        }
    }

    private void forwardConnection(Socket client) throws IOException, InterruptedException {
        try (Socket server = new Socket()) {
            mOpenSockets.add(client);
            mOpenSockets.add(server);
            server.connect(
                    new InetSocketAddress(mServerEntryAddress.host(), mServerEntryAddress.port()),
                    CONNECT_TIMEOUT_MS);
            byte[] firstMessage = new byte[8_192];
            int length = client.getInputStream().read(firstMessage);
            if (length < 0) {
                return;
            }
            Matcher idMatcher =
                    ENTRY_ID.matcher(
                            new String(firstMessage, 0, length, StandardCharsets.ISO_8859_1));
            String clientEntryId = idMatcher.find() ? idMatcher.group() : "unknown";
            startDaemonThread(
                    () ->
                            forwardBytes(
                                    server.getInputStream(),
                                    client,
                                    mServerEntryId + ">" + clientEntryId));
            String direction = clientEntryId + ">" + mServerEntryId;
            awaitUnblocked(direction);
            server.getOutputStream().write(firstMessage, 0, length);
            forwardBytes(client.getInputStream(), server, direction);
        } finally {
            client.close();
            mOpenSockets.remove(client);
        }
    }

    private void forwardBytes(InputStream from, Socket to, String direction)
            throws IOException, InterruptedException {
        try (to) {
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[8_192];
            int length;
            while ((length = from.read(buffer)) >= 0) {
                awaitUnblocked(direction);
                out.write(buffer, 0, length);
            }
        }
    }

    private void awaitUnblocked(String direction) throws InterruptedException {
        while (mBlockedDirections.contains(direction) && !mServerSocket.isClosed()) {
            Thread.sleep(POLL_INTERVAL_MS);
        }
    }

    private interface IoTask {
        void run() throws IOException, InterruptedException;
    }

    private static void startDaemonThread(IoTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // One side closed the connection; the proxy closes the other.
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "relay");
        thread.setDaemon(true);
        thread.start();
    }
}
