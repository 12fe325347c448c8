package standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Another writer leaves one entry among those of the workers: a copy of a worker's entry whose key is padded with zero bytes. */
final class OddEntry {
    private static final int CLIENTS = 16;
    private static final long TIMEOUT_MS = 600;
    /** The clients would wait beyond the route's timeout. */
    private static final long DEADLINE_MS = 2_000;
    private static final long LENGTH_MS = 20_000;

    private OddEntry() {
    }

    public static void main(String[] arguments) {
        Case.run(arguments, OddEntry::run);
    }

    private static boolean run(Deployment deployment, boolean withTrouble) throws Exception {
        Journal journal = deployment.journal;
        List<Worker> workers = new ArrayList<>();
        String[] zones = {"newburyport", "haverhill", "lowell"};
        for (int i = 0; i < zones.length; i++) {
            Worker worker = deployment.worker("w-" + (i + 1), Deployment.PLAIN, null, 6);
            worker.zone = zones[i];
            worker.beat();
            workers.add(worker);
        }
        EntryProcess entry = deployment.entry("edge-1");
        long start = journal.nowMs();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 1; c <= CLIENTS; c++) {
            String client = "stamp-" + c + "-";
            Thread thread = new Thread(() -> {
                for (int i = 1; journal.nowMs() - start < LENGTH_MS; i++) {
                    try (Caller caller = deployment.caller(entry)) {
                        long sentAt = journal.nowMs();
                        sent.incrementAndGet();
                        caller.send("POST", "/stamp/a", client + i, DEADLINE_MS, new byte[100]);
                        Caller.Answer answer = caller.await(TIMEOUT_MS + 500);
                        journal.add(client + i + ": " + answer.summary());
                        if (answer.atMs() - sentAt > TIMEOUT_MS + 20) overdue.incrementAndGet();
                        if (answer.isUnanswered()) unanswered.incrementAndGet();
                        Thread.sleep(400);
                    } catch (Exception e) {
                        journal.add(client + i + ": " + e);
                    }
                }
            });
            thread.start();
            clients.add(thread);
        }
        Thread.sleep(4_000);
        if (withTrouble) {
            deployment.store.put("keyed.servers", "w-1\0\0\0\0\0", workers.get(0).beatText());
            journal.add("another writer adds an entry: the one of w-1 under the key 'w-1' and five zero bytes");
        }
        for (Thread client : clients) client.join();
        for (String line : entry.logLines("Exception")) journal.add("edge-1 logs " + line.substring(0, Math.min(line.length(), 260)));
        journal.add(sent + " requests sent, " + overdue + " lasted longer than their route's timeout, "
            + unanswered + " of them have no answer half a second after it");
        return unanswered.get() >= 8 && unanswered.get() * 4 > overdue.get();
    }
}
