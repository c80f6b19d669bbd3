package org.lycheeroad.entry.api;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.lycheeroad.state.topology.HostPort;
import org.lycheeroad.transport.http.HttpHandler;
import org.lycheeroad.transport.http.HttpServer;

/** Serves an HTTP API on a loopback port and sends calls to it. */
final class ApiTestServer implements AutoCloseable {
    private final EventLoopGroup mGroup =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final HttpServer mServer;

    ApiTestServer(HttpHandler handler) throws Exception {
        mServer = new HttpServer(new HostPort("127.0.0.1", 0), mGroup, 1 << 20, handler);
        mServer.start();
    }

    HttpResponse<String> call(String method, String path, String body, String... headers)
            throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + mServer.address().port() + path);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofSeconds(10))
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        if (headers.length > 0) {
            request.headers(headers);
        }
        return mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    HttpResponse<String> get(String path, String... headers) throws Exception {
        return call("GET", path, "", headers);
    }

    /**
     * Returns the status of a GET with the given {@code Host} header, which HttpClient cannot set.
     */
    int statusWithHost(String path, String host) throws IOException {
        try (Socket socket =
                new Socket(InetAddress.getLoopbackAddress(), mServer.address().port())) {
            String request = "GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n";
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            byte[] statusLine = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
            return Integer.parseInt(new String(statusLine, StandardCharsets.US_ASCII).substring(9));
        }
    }

    @Override
    public void close() {
        mServer.stop();
        mGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
