package standins;

import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetSocketAddress;
import java.net.URL;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/** One entry, started with the command of the deploy file in the root of the repository. */
final class EntryProcess implements AutoCloseable {
    final String name;
    final InetSocketAddress front;
    private final String ready;
    private final Path settings;
    private final Path log;
    private final Path root;
    private Process process;

    EntryProcess(String name, Store store, Path root, Path folder) throws IOException {
        this.name = name;
        this.root = root;
        String ip = Ports.freeIp();
        front = new InetSocketAddress(ip, Ports.free(ip));
        ready = ip + ":" + Ports.free(ip);
        String control = ip + ":" + Ports.free(ip);
        log = folder.resolve(name + ".log");
        settings = folder.resolve(name + ".json");
        Files.writeString(settings, """
            {"node":"%s","role":"entry","machine-class":"edge","serves":["edge","control_plane"],"ip":"%s",
            "zone":"newburyport","region":"merrimack","zones":{"newburyport":"merrimack"},
            "listen":{"front":"%s:%d","ready":"%s","control":"%s"},"internal-ports":[7380,7395],"seeds":["%s"],
            "bootstrap":true,"loss-counts":false,
            "limits":{"cpu-share":0.57,"cores":1,"memory-mb":280,"max-fds":4100,"link-mbps":1000.0,"disk-mb":0},"data-dir":null,
            "discovery":"platform","entry":"vip","heartbeat-ms":1200,
            "contracts":["base","drain","config","cost","retry","recover","split","stream","engine","platform"],
            "tolerate":{"machines":1,"zones":0,"regions":0},
            "bounds":{"seed-lag-s":3,"reuse-after-s":2,"stable-window-ms":3000,"ack-ms":4000,"catch-up-s":4,"drain-ms":2000,"grace-s":8,
            "loss-slack-ms":200,"config-ms":2000,"rollback-slack-ms":250,"max-skew-ms":5000,"retry-budget-ratio":0.2,"budget-window-s":10,
            "retry-budget-slack":58,"recovery-s":12,"transit-ms":120,"reuse-window-s":7.1,"require-fence":false,"lease-ms":3000,"thaw-ms":300},
            "platform":{"address":"%s","form":"log","writes-per-s":400,"reads-per-s":2000,"parts":12,"append-ms":2.0,"ingress-per-s":20.0,
            "egress-per-s":80.0,"record-bytes":262144,"call-bytes":2097152,"keep_s":300,"partition-mb":200,"min-ttl-ms":1000}}
            """.formatted(name, ip, ip, front.getPort(), ready, control, control, store.server.hostPort()));
        start();
    }

    void start() throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst().orElseThrow()
            .replaceFirst("run = \"", "").replaceFirst("\"\\s*$", "");
        List<String> command = Arrays.stream(run.split(" ")).collect(Collectors.toList());
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        Map<String, String> environment = builder.environment();
        environment.keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        environment.put("KNAPWEEDFERRY_BOOT", settings.toString());
        process = builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile())).start();
    }

    boolean isReady() {
        try {
            HttpURLConnection connection = (HttpURLConnection) new URL("http://" + ready + "/readiness").openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(500);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Waits until the entry is ready; false if it isn't after 30 s. */
    boolean awaitReady() throws InterruptedException {
        for (int i = 0; i < 300; i++) {
            if (isReady()) return true;
            Thread.sleep(100);
        }
        return false;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Exit code, or null if the process runs on for {@code timeoutMs}. */
    Integer awaitExit(long timeoutMs) throws InterruptedException {
        return process.waitFor(timeoutMs, TimeUnit.MILLISECONDS) ? (Integer) process.exitValue() : null;
    }

    List<String> logLines(String part) throws IOException {
        return Files.readAllLines(log, java.nio.charset.StandardCharsets.ISO_8859_1).stream().filter(line -> line.contains(part)).collect(Collectors.toList());
    }

    @Override
    public void close() throws InterruptedException {
        process.destroyForcibly().waitFor();
    }
}
