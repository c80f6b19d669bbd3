import com.sun.net.httpserver.HttpExchange;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A small HTTP/1.1 client for consumers, and the answers of the stand-ins. */
final class Http {
    /** An answer; status 0 if there was none. */
    record Answer(int status, String body) {}

    private Http() {}

    static void answer(HttpExchange call, int status, String body) throws IOException {
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        call.getResponseHeaders().set("Content-Type", "application/json");
        call.sendResponseHeaders(status, bytes.length);
        call.getResponseBody().write(bytes);
        call.close();
    }

    /** Sends a request on a connection of its own. */
    static Answer call(String address, String request, int timeoutMs) {
        try (Socket socket = open(address, timeoutMs)) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return read(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, e.toString());
        }
    }

    static Socket open(String address, int timeoutMs) throws IOException {
        int colon = address.lastIndexOf(':');
        Socket socket = new Socket();
        socket.connect(
                new InetSocketAddress(
                        address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                timeoutMs);
        socket.setSoTimeout(timeoutMs);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static String request(String method, String host, String path, String key, String body) {
        String text =
                method
                        + " "
                        + path
                        + " HTTP/1.1\r\nHost: "
                        + host
                        + "\r\nAuthorization: Token "
                        + key
                        + "\r\nX-Lycheeroad-Deadline-Ms: 3000\r\n";
        if (body != null) {
            text +=
                    "Content-Type: application/json\r\nContent-Length: "
                            + body.getBytes(StandardCharsets.UTF_8).length
                            + "\r\n";
        }
        return text + "\r\n" + (body == null ? "" : body);
    }

    /** Reads one response with a content length. */
    static Answer read(InputStream in) throws IOException {
        String head = "";
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!head.endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("connection ended in the head of a response");
            }
            bytes.write(b);
            head = bytes.toString(StandardCharsets.ISO_8859_1);
        }
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
            }
        }
        byte[] body = in.readNBytes(length);
        return new Answer(
                Integer.parseInt(head.split(" ", 3)[1]), new String(body, StandardCharsets.UTF_8));
    }
}
