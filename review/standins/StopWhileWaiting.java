package standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** An entry gets SIGTERM while requests wait in it for memory of busy model workers. */
final class StopWhileWaiting {
    private static final int RUNNING = 10;
    private static final int WAITING = 4;

    private StopWhileWaiting() {
    }

    public static void main(String[] arguments) {
        Case.run(arguments, StopWhileWaiting::run);
    }

    private static boolean run(Deployment deployment, boolean withTrouble) throws Exception {
        Journal journal = deployment.journal;
        deployment.worker("w-prefill", Deployment.MODEL, "prefill", 64);
        for (int i = 1; i <= 2; i++) deployment.worker("w-decode-" + i, Deployment.MODEL, "decode", 64).gapMs = 66;
        EntryProcess busy = deployment.entry("edge-1");
        EntryProcess stopped = deployment.entry("edge-2");
        // Ten large prompts (the sheet allows 6,600 tokens) fill the memory of both decode workers; pauses stay far below the objective of 300 ms.
        List<Caller> running = new ArrayList<>();
        for (int i = 1; i <= RUNNING; i++) {
            Caller caller = deployment.caller(busy);
            caller.sendModel("/review/a", "running-" + i, 14_000, 6_000, 160);
            running.add(caller);
            Thread.sleep(50);
        }
        Thread.sleep(2_000);
        if (withTrouble) {
            stopped.terminate();
            journal.add("SIGTERM to edge-2");
        }
        // The platform asks for readiness once a second and takes an entry out after two misses, so new requests still come.
        Thread.sleep(1_500);
        List<Caller> waiting = new ArrayList<>();
        for (int i = 1; i <= WAITING; i++) {
            Caller caller = deployment.caller(stopped);
            caller.sendModel("/note/b", "waiting-" + i, 14_000, 3_000, 68);
            journal.add("sent the whole request waiting-" + i + " to edge-2");
            waiting.add(caller);
        }
        AtomicInteger lost = new AtomicInteger();
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < WAITING; i++) {
            int number = i;
            Thread thread = new Thread(() -> {
                Caller.Answer answer = waiting.get(number).await(14_500);
                journal.add("waiting-" + (number + 1) + ": " + answer.summary());
                if (answer.status() == 0) lost.incrementAndGet();
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) thread.join();
        for (int i = 0; i < RUNNING; i++) journal.add("running-" + (i + 1) + ": " + running.get(i).await(10_000).summary());
        if (withTrouble) journal.add("edge-2 ended with exit code " + stopped.awaitExit(3_000));
        journal.add(lost + " of " + WAITING + " requests ended with a closed connection and no answer");
        return lost.get() > 0;
    }
}
