import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Minimal HTTP/1.1 messages for the stand-ins: one message at a time, body by length, chunks or end of the connection. */
final class Http {
    /** A request or a response. Header names are in lower case. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String method() { return firstLine.split(" ")[0]; }

        String target() { return firstLine.split(" ")[1]; }

        int status() { return Integer.parseInt(firstLine.split(" ")[1]); }

        String header(String name) { return headers.get(name.toLowerCase(Locale.ROOT)); }

        String text() { return new String(body, StandardCharsets.UTF_8); }
    }

    private Http() {}

    /** Returns null if the connection ends before the first byte. */
    static Message readHead(InputStream in) throws IOException {
        String first = readLine(in, true);
        if (first == null) return null;
        Message message = new Message();
        message.firstLine = first;
        while (true) {
            String line = readLine(in, false);
            if (line.isEmpty()) return message;
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
    }

    /** Reads head and body; a response body without a length ends with the connection. */
    static Message read(InputStream in, boolean isResponse) throws IOException {
        Message message = readHead(in);
        if (message != null) message.body = readBody(in, message, isResponse);
        return message;
    }

    static byte[] readBody(InputStream in, Message message, boolean isResponse) throws IOException {
        String length = message.header("content-length");
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) return readChunks(in);
        if (length != null) return readExactly(in, Integer.parseInt(length));
        return isResponse ? in.readAllBytes() : new byte[0];
    }

    private static byte[] readChunks(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        while (true) {
            int size = Integer.parseInt(readLine(in, false).trim(), 16);
            if (size > 0) body.write(readExactly(in, size));
            String end = readLine(in, false);
            if (size == 0 && end.isEmpty()) return body.toByteArray();
        }
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) throw new EOFException("the connection ended within a body");
        return bytes;
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            int next = in.read();
            if (next < 0 && mayEnd && line.length() == 0) return null;
            if (next < 0) throw new EOFException("the connection ended within a head");
            if (next == '\n') return line.toString();
            if (next != '\r') line.append((char) next);
        }
    }
}
