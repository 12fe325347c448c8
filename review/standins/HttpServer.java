package standins;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Small HTTP/1.1 server for stand-ins: one thread per connection, keep-alive, bodies with a length. */
final class HttpServer implements AutoCloseable {
    interface Handler {
        void handle(Exchange exchange) throws Exception;
    }

    /** One request and the connection that it came on. */
    static final class Exchange {
        final String method;
        final String target;
        final Map<String, String> headers;
        final byte[] body;
        final Socket socket;

        Exchange(String method, String target, Map<String, String> headers, byte[] body, Socket socket) {
            this.method = method;
            this.target = target;
            this.headers = headers;
            this.body = body;
            this.socket = socket;
        }

        String path() {
            int query = target.indexOf('?');
            return query < 0 ? target : target.substring(0, query);
        }

        String query(String name) {
            int query = target.indexOf('?');
            if (query < 0) return null;
            for (String part : target.substring(query + 1).split("&")) {
                if (part.startsWith(name + "=")) return part.substring(name.length() + 1);
            }
            return null;
        }

        String header(String name) {
            return headers.get(name.toLowerCase());
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes) throws IOException {
            OutputStream out = socket.getOutputStream();
            out.write(bytes);
            out.flush();
        }

        /** Answers with a length. Each extra header is one line. */
        void answer(int status, byte[] body, String... extraHeaders) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " X\r\nContent-Length: " + body.length + "\r\n");
            for (String line : extraHeaders) head.append(line).append("\r\n");
            byte[] headBytes = head.append("\r\n").toString().getBytes(StandardCharsets.ISO_8859_1);
            byte[] all = new byte[headBytes.length + body.length];
            System.arraycopy(headBytes, 0, all, 0, headBytes.length);
            System.arraycopy(body, 0, all, headBytes.length, body.length);
            write(all);
        }

        void answerJson(int status, String json, String... extraHeaders) throws IOException {
            String[] all = new String[extraHeaders.length + 1];
            System.arraycopy(extraHeaders, 0, all, 0, extraHeaders.length);
            all[extraHeaders.length] = "Content-Type: application/json";
            answer(status, json.getBytes(StandardCharsets.UTF_8), all);
        }
    }

    final InetSocketAddress address;
    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    HttpServer(String ip, Handler handler) throws IOException {
        this.handler = handler;
        server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getByName(ip), Ports.free(ip)), 512);
        address = new InetSocketAddress(ip, server.getLocalPort());
        daemon(this::acceptAll);
    }

    String hostPort() {
        return address.getHostString() + ":" + address.getPort();
    }

    static void daemon(Runnable task) {
        Thread thread = new Thread(null, task, "standin", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptAll() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String head = readHead(in);
                if (head == null) return;
                String[] lines = head.split("\r\n");
                String[] start = lines[0].split(" ");
                Map<String, String> headers = new LinkedHashMap<>();
                for (int i = 1; i < lines.length; i++) {
                    int colon = lines[i].indexOf(':');
                    if (colon > 0) headers.put(lines[i].substring(0, colon).trim().toLowerCase(), lines[i].substring(colon + 1).trim());
                }
                byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
                handler.handle(new Exchange(start[0], start[1], headers, body, socket));
                if (socket.isClosed()) return;
            }
        } catch (Exception e) {
            // The peer or the test closed the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    static String readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int matched = 0;
        while (matched < 4) {
            int next = in.read();
            if (next < 0) return null;
            bytes.write(next);
            boolean expected = next == (matched % 2 == 0 ? '\r' : '\n');
            matched = expected ? matched + 1 : (next == '\r' ? 1 : 0);
        }
        return bytes.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) socket.close();
    }
}
