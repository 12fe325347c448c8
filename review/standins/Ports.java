package standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/** Free ports and loopback addresses. Ports are below the ephemeral range, so that no outgoing connection takes them. */
final class Ports {
    private static final Random RANDOM = new Random();
    private static final Set<String> TAKEN = new HashSet<>();
    private static final int METRICS_PORT = 9464;

    private Ports() {
    }

    static synchronized int free(String ip) {
        while (true) {
            int port = 15_000 + RANDOM.nextInt(17_000);
            if (TAKEN.add(ip + ":" + port) && isFree(ip, port)) return port;
        }
    }

    /** A loopback address whose metrics port is free. */
    static synchronized String freeIp() {
        while (true) {
            String ip = "127." + (1 + RANDOM.nextInt(200)) + "." + RANDOM.nextInt(250) + "." + (2 + RANDOM.nextInt(200));
            if (TAKEN.add(ip) && isFree(ip, METRICS_PORT)) return ip;
        }
    }

    private static boolean isFree(String ip, int port) {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(InetAddress.getByName(ip), port));
            return true;
        } catch (IOException e) {
            return false;
        }
    }
}
