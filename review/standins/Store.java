package standins;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The platform's store, as far as entries use it: keyed topics with one partition. */
final class Store implements AutoCloseable {
    private record Entry(String key, byte[] value) {
    }

    private static final Pattern SEQUENCE = Pattern.compile("\"sequence\":\\d+,?");
    private final Map<String, List<Entry>> topics = new HashMap<>();
    private final Object lock = new Object();
    final HttpServer server;

    Store() throws IOException {
        server = new HttpServer("127.0.0.1", this::handle);
    }

    /** Appends a record; null as value drops the key. */
    void put(String topic, String key, String value) {
        synchronized (lock) {
            byte[] bytes = value == null ? new byte[0] : value.getBytes(StandardCharsets.UTF_8);
            topics.computeIfAbsent(topic, t -> new ArrayList<>()).add(new Entry(key, bytes));
            lock.notifyAll();
        }
    }

    /** A worker's registration: the record changes only when more than its sequence changes. */
    void register(String id, String value) {
        synchronized (lock) {
            String former = newest("keyed.servers", id);
            if (former != null && withoutSequence(former).equals(withoutSequence(value))) return;
            put("keyed.servers", id, value);
        }
    }

    private static String withoutSequence(String json) {
        Matcher matcher = SEQUENCE.matcher(json);
        return matcher.replaceFirst("");
    }

    private String newest(String topic, String key) {
        String found = null;
        for (Entry entry : topics.getOrDefault(topic, List.of())) {
            if (entry.key.equals(key)) found = entry.value.length == 0 ? null : new String(entry.value, StandardCharsets.UTF_8);
        }
        return found;
    }

    private void handle(HttpServer.Exchange exchange) throws Exception {
        String topic = exchange.query("topic");
        switch (exchange.path()) {
            case "/log-newest" -> exchange.answerJson(200, newestPage(topic));
            case "/log-read" -> exchange.answer(200, read(topic, Integer.parseInt(exchange.query("from")), Long.parseLong(exchange.query("wait-ms"))));
            case "/log-append" -> append(exchange, topic);
            default -> exchange.answerJson(404, "{}");
        }
    }

    private String newestPage(String topic) {
        synchronized (lock) {
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            Map<String, String> items = new LinkedHashMap<>();
            for (int offset = 0; offset < entries.size(); offset++) {
                Entry entry = entries.get(offset);
                if (entry.value.length == 0) {
                    items.remove(entry.key);
                    continue;
                }
                String value = Base64.getEncoder().encodeToString(entry.value);
                items.put(entry.key, "{\"key\":\"" + escaped(entry.key) + "\",\"value\":\"" + value + "\",\"offset\":" + offset + "}");
            }
            return "{\"items\":[" + String.join(",", items.values()) + "],\"has-more\":false,\"end\":" + entries.size() + "}";
        }
    }

    /** Escapes control characters as JSON needs it. */
    private static String escaped(String text) {
        StringBuilder result = new StringBuilder();
        for (char c : text.toCharArray()) result.append(c < ' ' ? String.format("\\u%04x", (int) c) : String.valueOf(c));
        return result.toString();
    }

    private byte[] read(String topic, int from, long waitMs) throws Exception {
        synchronized (lock) {
            long until = System.nanoTime() + waitMs * 1_000_000;
            while (topics.getOrDefault(topic, List.of()).size() <= from) {
                long leftMs = (until - System.nanoTime()) / 1_000_000;
                if (leftMs <= 0) break;
                lock.wait(leftMs);
            }
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(entries.size());
            out.writeLong(0);
            for (int i = from; i < entries.size(); i++) {
                byte[] key = entries.get(i).key.getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + entries.get(i).value.length);
                out.writeByte(key.length);
                out.write(key);
                out.write(entries.get(i).value);
            }
            return bytes.toByteArray();
        }
    }

    private void append(HttpServer.Exchange exchange, String topic) throws IOException {
        int offset;
        synchronized (lock) {
            List<Entry> entries = topics.computeIfAbsent(topic, t -> new ArrayList<>());
            offset = entries.size();
            String at = exchange.query("at");
            if (at == null || Integer.parseInt(at) == offset) {
                byte[] body = exchange.body;
                int keyLength = body[4] & 0xff;
                String key = new String(body, 5, keyLength, StandardCharsets.UTF_8);
                byte[] value = java.util.Arrays.copyOfRange(body, 5 + keyLength, body.length);
                entries.add(new Entry(key, value));
                lock.notifyAll();
            } else {
                offset = -1 - offset;
            }
        }
        if (offset < 0) exchange.answerJson(412, "{\"end\":" + (-1 - offset) + "}");
        else exchange.answerJson(200, "{\"offset\":" + offset + ",\"end\":" + (offset + 1) + "}");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
