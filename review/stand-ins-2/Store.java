import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in of the platform's store: keyed topics with one partition, long polls, conditional appends, eras. */
final class Store {
    /** Decides about one call; a status above 0 is sent instead of the answer, and nothing is done. */
    interface Gate {
        int reject(String call, String topic);
    }

    private record Entry(long offset, String key, byte[] value) {}

    private static final class Topic {
        final List<Entry> entries = new ArrayList<>();
        long first;
        final Map<String, Entry> newest = new TreeMap<>();

        long end() { return first + entries.size(); }

        Topic copy() {
            Topic copy = new Topic();
            copy.entries.addAll(entries);
            copy.first = first;
            copy.newest.putAll(newest);
            return copy;
        }
    }

    private Map<String, Topic> topics = new HashMap<>();
    private long era;
    private final Record record;
    private final Map<Integer, Long> readThrough = new HashMap<>();
    private volatile boolean isAway;

    Store(long era, Record record) {
        this.era = era;
        this.record = record;
    }

    /** Listens at a free port of [ip]; every entry may have an address of its own, and a gate of its own. */
    InetSocketAddress listen(String ip, Gate gate) throws IOException {
        ServerSocket server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("store-" + server.getLocalPort(), () -> {
            while (true) {
                Socket socket = server.accept();
                Threads.start("store-call", () -> serve(socket, gate, server.getLocalPort()));
            }
        });
        return new InetSocketAddress(ip, server.getLocalPort());
    }

    synchronized long put(String topicName, String key, String value) {
        return append(topic(topicName), key, value == null ? null : value.getBytes(StandardCharsets.UTF_8));
    }

    synchronized long end(String topicName) { return topic(topicName).end(); }

    /** Offset of [topicName] up to which the entry at the store address [port] has asked to read on. */
    synchronized long readThrough(int port) { return readThrough.getOrDefault(port, -1L); }

    synchronized Map<String, Topic> copyForRestore() {
        Map<String, Topic> copy = new HashMap<>();
        topics.forEach((name, topic) -> copy.put(name, topic.copy()));
        return copy;
    }

    /** Comes back from an older copy: offsets go back, the era rises by one. */
    @SuppressWarnings("unchecked")
    synchronized void restore(Object copy) {
        topics = (Map<String, Topic>) copy;
        era++;
        isAway = false;
        notifyAll();
    }

    void setAway(boolean value) { isAway = value; }

    private Topic topic(String name) { return topics.computeIfAbsent(name, unused -> new Topic()); }

    private synchronized long append(Topic topic, String key, byte[] value) {
        Entry entry = new Entry(topic.end(), key, value);
        topic.entries.add(entry);
        if (value == null) topic.newest.remove(key); else topic.newest.put(key, entry);
        notifyAll();
        return entry.offset;
    }

    private void serve(Socket socket, Gate gate, int port) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (true) {
                Http.Message request = Http.read(socket.getInputStream(), false);
                if (request == null || isAway) return;
                Map<String, String> query = new LinkedHashMap<>();
                String[] target = request.target().split("\\?", 2);
                if (target.length > 1) for (String pair : target[1].split("&")) query.put(pair.split("=", 2)[0], java.net.URLDecoder.decode(pair.split("=", 2)[1], StandardCharsets.UTF_8));
                String call = target[0].substring(1);
                int rejected = gate.reject(call, query.get("topic"));
                if (rejected > 0) {
                    respond(socket, rejected, new byte[0]);
                    continue;
                }
                if (!answer(socket, call, query, request.body, port)) return;
            }
        } catch (IOException ignored) {
            // The entry has closed the connection.
        }
    }

    private boolean answer(Socket socket, String call, Map<String, String> query, byte[] body, int port) throws Exception {
        String name = query.get("topic");
        switch (call) {
            case "log-newest": respond(socket, 200, newest(name, query.get("after"))); return true;
            case "log-append": return appendCall(socket, name, query, body);
            case "log-read": return readCall(socket, name, Long.parseLong(query.get("from")), Long.parseLong(query.getOrDefault("wait-ms", "0")), port);
            default: respond(socket, 404, new byte[0]); return true;
        }
    }

    private synchronized byte[] newest(String name, String after) {
        StringBuilder items = new StringBuilder();
        Topic topic = topic(name);
        int count = 0;
        boolean hasMore = false;
        for (Entry entry : topic.newest.values()) {
            if (after != null && entry.key.compareTo(after) <= 0) continue;
            if (count++ == 500) { hasMore = true; break; }
            if (items.length() > 0) items.append(',');
            items.append("{\"key\":\"").append(entry.key).append("\",\"value\":\"").append(Base64.getEncoder().encodeToString(entry.value))
                .append("\",\"offset\":").append(entry.offset).append('}');
        }
        return ("{\"items\":[" + items + "],\"has-more\":" + hasMore + ",\"end\":" + topic.end() + "}").getBytes(StandardCharsets.UTF_8);
    }

    private boolean appendCall(Socket socket, String name, Map<String, String> query, byte[] body) throws Exception {
        long offset;
        long end;
        synchronized (this) {
            Topic topic = topic(name);
            if (query.containsKey("at") && Long.parseLong(query.get("at")) != topic.end()) {
                respond(socket, 412, ("{\"end\":" + topic.end() + "}").getBytes(StandardCharsets.UTF_8));
                return true;
            }
            if (name.equals("keyed.op") || name.equals("keyed.servers")) {
                respond(socket, 403, new byte[0]);
                return true;
            }
            ByteBuffer buffer = ByteBuffer.wrap(body);
            offset = topic.end();
            while (buffer.hasRemaining()) {
                byte[] content = new byte[buffer.getInt()];
                buffer.get(content);
                int keyLength = content[0] & 0xff;
                String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length);
                append(topic, key, value.length == 0 ? null : value);
            }
            end = topic.end();
        }
        Thread.sleep(4);
        respond(socket, 200, ("{\"offset\":" + offset + ",\"end\":" + end + "}").getBytes(StandardCharsets.UTF_8));
        return true;
    }

    private boolean readCall(Socket socket, String name, long from, long waitMs, int port) throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        synchronized (this) {
            if (name.equals("keyed.servers")) readThrough.put(port, from);
            long until = System.nanoTime() + waitMs * 1_000_000;
            long startEra = era;
            while (topic(name).end() <= from && startEra == era && !isAway) {
                long leftMs = (until - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) break;
                wait(leftMs);
            }
            if (isAway) return false;
            Topic topic = topic(name);
            if (from < topic.first || from > topic.end()) {
                respond(socket, 410, ("{\"first\":" + topic.first + "}").getBytes(StandardCharsets.UTF_8));
                return true;
            }
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(topic.end());
            out.writeLong(topic.first);
            for (Entry entry : topic.entries.subList((int) (from - topic.first), topic.entries.size())) {
                byte[] key = entry.key.getBytes(StandardCharsets.UTF_8);
                byte[] value = entry.value == null ? new byte[0] : entry.value;
                out.writeInt(1 + key.length + value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(value);
            }
        }
        respond(socket, 200, bytes.toByteArray());
        return true;
    }

    private void respond(Socket socket, int status, byte[] body) throws IOException {
        String head = "HTTP/1.1 " + status + " X\r\nStore-Era: " + era + "\r\nContent-Length: " + body.length + "\r\n\r\n";
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }
}
