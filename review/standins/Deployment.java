package standins;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A small deployment: the store with a configuration, workers and entries; ends all of it on close. */
final class Deployment implements AutoCloseable {
    static final String HOST = "dock.example";
    static final String MODEL = "vest-llm";
    static final String PLAIN = "dockdesk";
    static final int KV_TOKENS = 34_009;

    final Journal journal = new Journal();
    final Store store = new Store();
    private final List<AutoCloseable> parts = new ArrayList<>();
    private final Path root = Path.of("").toAbsolutePath();
    private final Path folder = Files.createTempDirectory("review-case");

    Deployment() throws IOException {
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        store.put("keyed.op", "config", config(7));
    }

    static String config(int version) {
        return """
            {"version":%d,"routes":[
            {"name":"fleet-review","host":"%2$s","path-prefix":"/review/","kind":"streaming","timeout-ms":14000,"target-latency-ms":800,"priority":0,"service":"%3$s","max-attempts":2,"sticky":true,"resumable":true,"gap-target-ms":300},
            {"name":"liner-survey","host":"%2$s","path-prefix":"/survey/","kind":"streaming","timeout-ms":14000,"target-latency-ms":1000,"priority":1,"service":"%3$s","max-attempts":1,"sticky":true,"resumable":false,"gap-target-ms":300},
            {"name":"loaner-note","host":"%2$s","path-prefix":"/note/","kind":"streaming","timeout-ms":14000,"target-latency-ms":2000,"priority":2,"service":"%3$s","max-attempts":2,"sticky":true,"resumable":true,"gap-target-ms":300},
            {"name":"split","host":"%2$s","path-prefix":"/split/","kind":"streaming","timeout-ms":14000,"target-latency-ms":800,"priority":0,"traffic-split":[{"service":"%3$s","weight":50},{"service":"%4$s","weight":50}],"max-attempts":2,"sticky":true,"resumable":true,"gap-target-ms":300},
            {"name":"tag-stamp","host":"%2$s","path-prefix":"/stamp/","kind":"non_idempotent","timeout-ms":600,"target-latency-ms":121,"priority":2,"service":"%4$s","max-attempts":1},
            {"name":"locker-lookup","host":"%2$s","path-prefix":"/locker/","kind":"idempotent","timeout-ms":600,"target-latency-ms":121,"priority":2,"service":"%4$s","max-attempts":2}],
            "services":[
            {"name":"%3$s","health-path":"/health","max-connections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kv-capacity-tokens":%5$d,"kv-token-bytes":18432,"link-mbps":550000.0,"moves":true,"backups":true,"stride":13,"most":12,"handle-ttl-s":0.5,"switch-s":6.0,"pin-ms":4000.0,"hold-ms":2000.0,"models":[{"name":"m"}]}},
            {"name":"%4$s","health-path":"/health","max-connections":110,"protocol":"h1","tls":false}],
            "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}}
            """.formatted(version, HOST, MODEL, PLAIN, KV_TOKENS);
    }

    Worker worker(String id, String service, String stage, int slots) throws IOException {
        Worker worker = new Worker(id, service, stage, slots, KV_TOKENS, store, journal);
        parts.add(worker);
        return worker;
    }

    /** Starts an entry and waits until it is ready. */
    EntryProcess entry(String name) throws Exception {
        EntryProcess entry = new EntryProcess(name, store, root, folder);
        parts.add(entry);
        if (!entry.awaitReady()) throw new IllegalStateException("the entry did not become ready");
        journal.add(name + " is ready");
        return entry;
    }

    Caller caller(EntryProcess entry) throws IOException {
        return new Caller(entry.front, journal);
    }

    @Override
    public synchronized void close() {
        for (AutoCloseable part : parts) {
            try {
                part.close();
            } catch (Exception e) {
                // It has ended already.
            }
        }
        parts.clear();
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) Files.deleteIfExists(file);
            store.close();
        } catch (IOException e) {
            // Nothing is left to remove.
        }
    }
}
