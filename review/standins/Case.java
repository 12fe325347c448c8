package standins;

import java.nio.file.Path;

/** Runs a case, writes its record and exits: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Case {
    interface Body {
        /** True if the rule was broken. */
        boolean run(Deployment deployment, boolean withTrouble) throws Exception;
    }

    private Case() {
    }

    static void run(String[] arguments, Body body) {
        Path folder = Path.of(arguments[0]);
        boolean withTrouble = !"0".equals(System.getenv("TROUBLE"));
        int code;
        try (Deployment deployment = new Deployment()) {
            deployment.journal.add(withTrouble ? "with the disruption" : "without the disruption");
            try {
                boolean isBroken = body.run(deployment, withTrouble);
                deployment.journal.add(isBroken ? "the rule was BROKEN" : "the rule held");
                code = isBroken ? 1 : 0;
            } catch (Exception e) {
                deployment.journal.add("the case couldn't run: " + e);
                e.printStackTrace();
                code = 2;
            }
            deployment.journal.write(folder);
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        System.exit(code);
    }
}
