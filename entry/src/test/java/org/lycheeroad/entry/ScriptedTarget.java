package org.lycheeroad.entry;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** A target on a plain socket; a script writes the exact bytes of its responses. */
public final class ScriptedTarget implements AutoCloseable {
    /** Writes the response to one request. */
    public interface Script {
        void respond(ReceivedRequest request, OutputStream out, Socket socket) throws Exception;
    }

    /** A request as the target received it. */
    public record ReceivedRequest(String path, Map<String, String> headers, String body) {
        public String attemptId() {
            return headers.get("lycheeroad-attempt");
        }
    }

    public final List<ReceivedRequest> receivedRequests = new CopyOnWriteArrayList<>();
    private final ServerSocket mServer;
    private final List<Socket> mSockets = new CopyOnWriteArrayList<>();
    private final Script mScript;

    public ScriptedTarget(Script script) throws IOException {
        mScript = script;
        mServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "target");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns a complete response that echoes the attempt id. */
    public static byte[] completeResponse(
            ReceivedRequest request, int status, String extraHeaders, String body) {
        return completeResponse(request.attemptId(), status, extraHeaders, body);
    }

    public static byte[] completeResponse(
            String attemptId, int status, String extraHeaders, String body) {
        return ("HTTP/1.1 "
                        + status
                        + " x\r\nLycheeroad-Attempt: "
                        + attemptId
                        + "\r\n"
                        + extraHeaders
                        + "Content-Length: "
                        + body.length()
                        + "\r\n\r\n"
                        + body)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    public int port() {
        return mServer.getLocalPort();
    }

    public int connectionCount() {
        return mSockets.size();
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), "target-connection");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String line;
            while ((line = readLine(in)) != null) {
                Map<String, String> headers = new TreeMap<>();
                for (String header = readLine(in); !header.isEmpty(); header = readLine(in)) {
                    int colon = header.indexOf(':');
                    headers.put(
                            header.substring(0, colon).toLowerCase(Locale.ROOT),
                            header.substring(colon + 1).trim());
                }
                ReceivedRequest request =
                        new ReceivedRequest(line.split(" ", -1)[1], headers, readBody(in, headers));
                receivedRequests.add(request);
                mScript.respond(request, socket.getOutputStream(), socket);
                socket.getOutputStream().flush();
            }
        } catch (Exception e) {
            // The entry closed the connection; the test checks what the caller sees.
            mSockets.remove(socket);
        }
    }

    private static String readBody(InputStream in, Map<String, String> headers) throws IOException {
        if (headers.containsKey("content-length")) {
            return new String(
                    in.readNBytes(Integer.parseInt(headers.get("content-length"))),
                    StandardCharsets.ISO_8859_1);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in).trim(), 16);
            body.write(in.readNBytes(size));
            readLine(in);
            if (size == 0) {
                return body.toString(StandardCharsets.ISO_8859_1);
            }
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int b;
        while ((b = in.read()) != '\n') {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
