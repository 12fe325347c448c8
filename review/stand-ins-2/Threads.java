/** Starts daemon threads whose errors are printed. */
final class Threads {
    interface Action {
        void run() throws Exception;
    }

    private Threads() {}

    static Thread start(String name, Action action) {
        Thread thread = new Thread(null, () -> {
            try {
                action.run();
            } catch (InterruptedException | java.net.SocketException ignored) {
                // The case has ended, or the peer has.
            } catch (Exception e) {
                System.err.println(name + ": " + e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
