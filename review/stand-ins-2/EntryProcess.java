import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** One entry, started with the command of the deploy file in the root of the repository. */
final class EntryProcess {
    private static final List<EntryProcess> STARTED = new ArrayList<>();

    final String node;
    final String ip;
    final int frontPort;
    final int readyPort;
    final int controlPort;
    private final Path folder;
    private final Path settings;
    Process process;

    EntryProcess(String node, String ip, String zone, InetSocketAddress store, List<String> seeds, Path folder) throws IOException {
        this.node = node;
        this.ip = ip;
        this.folder = folder;
        frontPort = freePort(ip);
        readyPort = freePort(ip);
        controlPort = freePort(ip);
        settings = folder.resolve(node + ".json");
        String allSeeds = seeds.isEmpty() ? "\"" + control() + "\"" : "\"" + String.join("\",\"", seeds) + "\"";
        Files.writeString(settings, """
            {"node":"%s","role":"entry","machine-class":"edge","serves":["edge","control_plane"],"ip":"%s","zone":"%s","region":"merrimack",
             "zones":{"newburyport":"merrimack","haverhill":"merrimack","lowell":"merrimack"},
             "listen":{"front":"%s:%d","ready":"%s:%d","control":"%s"},"internal-ports":[7380,7395],"seeds":[%s],
             "bootstrap":true,"loss-counts":false,
             "limits":{"cpu-share":0.57,"cores":1,"memory-mb":280,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0},"data-dir":null,
             "discovery":"platform","entry":"vip","heartbeat-ms":1200,
             "contracts":["base","drain","config","cost","retry","recover","split","stream","engine","platform"],
             "tolerate":{"machines":1,"zones":0,"regions":0},
             "bounds":{"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":8,
              "loss-slack-ms":200,"config-ms":2000,"rollback-slack-ms":250,"max-skew-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,
              "retry-budget-slack":58,"recovery-s":12,"transit-ms":120,"reuse-window-s":7.1,"require-fence":false,"lease-ms":3000,"thaw-ms":300},
             "platform":{"address":"%s:%d","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":12,"append-ms":2.0,"ingress-per-s":20.0,
              "egress-per-s":80.0,"record-bytes":262144,"call-bytes":2097152,"keep_s":300,"partition-mb":200,"min-ttl-ms":1000}}
            """.formatted(node, ip, zone, ip, frontPort, ip, readyPort, control(), allSeeds, store.getHostString(), store.getPort()));
    }

    String control() { return ip + ":" + controlPort; }

    /** Starts the process; its log goes to a file of the temporary folder. */
    void start() throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command());
        builder.environment().keySet().retainAll(Arrays.asList("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("KNAPWEEDFERRY_BOOT", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log()));
        process = builder.start();
        synchronized (STARTED) {
            STARTED.add(this);
        }
    }

    File log() { return folder.resolve(node + ".log").toFile(); }

    /** The words of the line `run` of the role in the deploy file. */
    private static List<String> command() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
            if (line.startsWith("run = ")) return Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
        }
        throw new IOException("deploy/system.toml has no line `run`");
    }

    /** Status of GET /readiness; 0 if there is no answer. */
    int readiness() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, readyPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write(("GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
            return Http.readHead(socket.getInputStream()).status();
        } catch (IOException | RuntimeException e) {
            return 0;
        }
    }

    void awaitReady() throws IOException {
        long until = System.nanoTime() + 30_000_000_000L;
        while (readiness() != 200) {
            if (System.nanoTime() > until || !process.isAlive()) throw new IOException(node + " does not become ready");
            Threads.sleep(50);
        }
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, "" + process.pid()).start().waitFor();
    }

    static void killAll() {
        synchronized (STARTED) {
            for (EntryProcess entry : STARTED) entry.process.destroyForcibly();
        }
    }

    private static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }
}
