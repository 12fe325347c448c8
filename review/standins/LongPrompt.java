package standins;

/** A prefill worker is dark while the decode worker that was chosen before leaves as planned. */
final class LongPrompt {
    private static final long DRAIN_MS = 2_000;
    /** Stays up for longer than drain-ms, as some workers do. */
    private static final long LEAVES_AFTER_MS = 4_000;
    private static final long DARK_MS = 4_500;
    private static final int PROMPT_TOKENS = 10_000;

    private LongPrompt() {
    }

    public static void main(String[] arguments) {
        Case.run(arguments, LongPrompt::run);
    }

    private static boolean run(Deployment deployment, boolean withTrouble) throws Exception {
        Journal journal = deployment.journal;
        Worker prefill = deployment.worker("w-prefill", Deployment.MODEL, "prefill", 64);
        Worker[] decoders = {
            deployment.worker("w-decode-1", Deployment.MODEL, "decode", 64), deployment.worker("w-decode-2", Deployment.MODEL, "decode", 64)};
        EntryProcess entry = deployment.entry("edge-1");
        long[] drainingAt = {-1};
        String[] leaving = {""};
        long[] lateBy = {-1};
        for (Worker worker : decoders) {
            worker.gapMs = 20;
            worker.hook = exchange -> {
                if (!"long".equals(exchange.header("X-Attempt-Id"))) return false;
                journal.add(worker.id + " is reached by long");
                if (worker.id.equals(leaving[0])) lateBy[0] = journal.nowMs() - drainingAt[0] - DRAIN_MS;
                return false;
            };
        }
        prefill.hook = exchange -> {
            if (!"long".equals(exchange.header("X-Attempt-Id"))) return false;
            journal.add("w-prefill is reached by the prompt of long" + (withTrouble ? " and goes dark" : ""));
            // The entry has chosen the decode worker: the one that holds a lease.
            for (Worker worker : decoders) {
                if (!worker.hasLease()) continue;
                leaving[0] = worker.id;
                worker.state = "draining";
                worker.beat();
                drainingAt[0] = journal.nowMs();
                journal.add("the store acknowledges that " + worker.id + " is draining");
                HttpServer.daemon(() -> leave(worker, deployment));
            }
            if (withTrouble) Thread.sleep(DARK_MS);
            return false;
        };
        try (Caller caller = deployment.caller(entry)) {
            caller.sendModel("/survey/a", "first", 14_000, 1_000, 20);
            journal.add("first: " + caller.await(15_000).summary());
            caller.sendModel("/survey/a", "long", 14_000, PROMPT_TOKENS, 68);
            journal.add("sent long, " + PROMPT_TOKENS + " tokens");
            journal.add("long: " + caller.await(15_000).summary());
        }
        if (drainingAt[0] < 0) throw new IllegalStateException("no decode worker had a lease");
        journal.add(lateBy[0] > 0 ? "long reached " + leaving[0] + " " + lateBy[0] + " ms after drain-ms" : "long did not come late");
        return lateBy[0] > 50;
    }

    private static void leave(Worker worker, Deployment deployment) {
        try {
            Thread.sleep(LEAVES_AFTER_MS);
            worker.close();
            deployment.store.put("keyed.servers", worker.id, null);
            deployment.journal.add(worker.id + " has left");
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
