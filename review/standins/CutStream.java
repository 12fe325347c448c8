package standins;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A worker crashes inside an event of a stream that has neither a length nor chunks, on a route that two services share. */
final class CutStream {
    private static final int PIECES = 68;
    private static final int REQUESTS = 24;
    private static final int CRASHING_STREAM = 5;

    private CutStream() {
    }

    public static void main(String[] arguments) {
        Case.run(arguments, CutStream::run);
    }

    private static boolean run(Deployment deployment, boolean withTrouble) throws Exception {
        Journal journal = deployment.journal;
        deployment.worker("w-prefill", Deployment.MODEL, "prefill", 64);
        deployment.worker("w-decode-1", Deployment.MODEL, "decode", 64);
        deployment.worker("w-decode-2", Deployment.MODEL, "decode", 64);
        List<Worker> plain = new ArrayList<>();
        for (int i = 1; i <= 6; i++) plain.add(deployment.worker("w-plain-" + i, Deployment.PLAIN, null, 6));
        AtomicInteger streams = new AtomicInteger();
        for (Worker worker : plain) {
            worker.hook = exchange -> exchange.header("X-Attempt-Id") != null
                && stream(worker, exchange, journal, streams.incrementAndGet() == CRASHING_STREAM && withTrouble);
        }
        EntryProcess entry = deployment.entry("edge-1");
        int falselyComplete = 0;
        for (int i = 1; i <= REQUESTS; i++) {
            String id = "review-" + i;
            try (Caller caller = deployment.caller(entry)) {
                caller.sendModel("/split/a", id, 14_000, 500, PIECES);
                Caller.Answer answer = caller.await(14_500);
                int pieces = answer.body().split("\ndata: ", -1).length - 1;
                boolean isWhole = answer.body().endsWith(event(id, PIECES));
                journal.add(id + ": " + answer.summary() + ", " + pieces + " pieces begun" + (isWhole ? ", whole" : ", NOT whole"));
                if (answer.status() == 200 && answer.isComplete() && !isWhole) falselyComplete++;
            }
        }
        journal.add(falselyComplete + " answers looked complete and were not");
        return falselyComplete > 0;
    }

    private static String event(String request, int piece) {
        return "id: " + piece + "\ndata: " + request + "-" + piece + "\n\n";
    }

    private static boolean stream(Worker worker, HttpServer.Exchange exchange, Journal journal, boolean crashes) throws Exception {
        String request = exchange.header("X-Attempt-Id");
        String last = exchange.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        journal.add(worker.id + " runs " + request + " from piece " + first);
        exchange.write("HTTP/1.1 200 OK\r\n" + Worker.idLine(exchange) + "\r\nX-Server-Signature: " + worker.id
            + "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n");
        for (int piece = first; piece <= PIECES; piece++) {
            String event = event(request, piece);
            if (crashes && piece == PIECES / 2) {
                exchange.write(event.substring(0, event.length() / 2));
                journal.add(worker.id + " crashes inside piece " + piece + " of " + request);
                worker.close();
                return true;
            }
            exchange.write(event);
            Thread.sleep(5);
        }
        exchange.socket.close();
        journal.add(worker.id + " has run " + request);
        return true;
    }
}
