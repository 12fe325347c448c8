package standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A prefill worker spoils one byte of three in a hundred of its answers, three times for 5.5 s. */
final class GarbledHandle {
    private static final long TIMEOUT_MS = 14_000;
    private static final long LENGTH_MS = 22_000;
    /** Every 34th answer is spoiled: less than 3 in 100. */
    private static final int ANSWERS_PER_SPOILED = 34;
    private static final long[] STARTS_MS = {0, 8_000, 16_000};
    private static final long TROUBLE_MS = 5_500;

    private GarbledHandle() {
    }

    public static void main(String[] arguments) {
        Case.run(arguments, GarbledHandle::run);
    }

    private static boolean run(Deployment deployment, boolean withTrouble) throws Exception {
        Journal journal = deployment.journal;
        Worker prefill = deployment.worker("w-prefill", Deployment.MODEL, "prefill", 64);
        deployment.worker("w-decode-1", Deployment.MODEL, "decode", 64);
        deployment.worker("w-decode-2", Deployment.MODEL, "decode", 64);
        EntryProcess entry = deployment.entry("edge-1");
        long start = journal.nowMs();
        AtomicInteger answers = new AtomicInteger();
        prefill.hook = exchange -> {
            if (!withTrouble || exchange.header("X-Attempt-Id") == null || !isInTrouble(journal.nowMs() - start)) return false;
            if (answers.incrementAndGet() % ANSWERS_PER_SPOILED != 0) return false;
            journal.add("w-prefill spoils one byte of its answer to " + exchange.header("X-Attempt-Id"));
            byte[] body = "{\"kv-handle\":\"3fa09c41b7d5\",\"tokens\":300,\"version\":1}".getBytes(StandardCharsets.UTF_8);
            body[14] ^= 0x20;
            exchange.answer(200, body, "Content-Type: application/json", Worker.idLine(exchange), "X-Server-Signature: w-prefill");
            return true;
        };
        List<Thread> threads = new ArrayList<>();
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        for (int i = 1; journal.nowMs() - start < LENGTH_MS; i++) {
            String id = "review-" + i;
            Thread thread = new Thread(() -> {
                try (Caller caller = deployment.caller(entry)) {
                    long sentAt = journal.nowMs();
                    caller.sendModel("/review/a", id, TIMEOUT_MS, 300, 20);
                    Caller.Answer answer = caller.await(TIMEOUT_MS + 500);
                    journal.add(id + ": " + answer.summary());
                    if (answer.atMs() - sentAt > TIMEOUT_MS + 20) overdue.incrementAndGet();
                    if (answer.isUnanswered()) unanswered.incrementAndGet();
                } catch (Exception e) {
                    journal.add(id + ": " + e);
                }
            });
            thread.start();
            threads.add(thread);
            Thread.sleep(36);
        }
        for (Thread thread : threads) thread.join();
        for (String line : entry.logLines("Exception")) journal.add("edge-1 logs " + line.substring(0, Math.min(line.length(), 260)));
        journal.add(threads.size() + " requests sent, " + overdue + " lasted longer than their route's timeout, "
            + unanswered + " of them have no answer half a second after it");
        return unanswered.get() >= 8 && unanswered.get() * 4 > overdue.get();
    }

    private static boolean isInTrouble(long atMs) {
        for (long from : STARTS_MS) if (atMs >= from && atMs < from + TROUBLE_MS) return true;
        return false;
    }
}
