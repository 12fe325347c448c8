import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the time since the start in seconds. */
final class Record {
    private final long startedAt = System.nanoTime();
    private final PrintWriter out;

    Record(Path file) throws IOException { out = new PrintWriter(Files.newBufferedWriter(file)); }

    double nowS() { return (System.nanoTime() - startedAt) / 1e9; }

    synchronized void add(String format, Object... values) {
        out.printf(Locale.ROOT, "%8.3f %s%n", nowS(), String.format(Locale.ROOT, format, values));
        out.flush();
    }
}
