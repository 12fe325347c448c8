package standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** What was sent, answered and run, with the time in ms since the start; written to record.txt. */
final class Journal {
    private final long start = System.nanoTime();
    private final List<String> lines = new ArrayList<>();

    long nowMs() {
        return (System.nanoTime() - start) / 1_000_000;
    }

    synchronized void add(String text) {
        String line = String.format("%7d %s", nowMs(), text);
        lines.add(line);
        System.out.println(line);
    }

    synchronized void write(Path folder) throws IOException {
        Files.write(folder.resolve("record.txt"), lines);
    }
}
