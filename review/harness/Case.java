package review;

import java.io.IOException;
import java.nio.file.Path;

/** Runs one case and exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
abstract class Case {
    /** Whether the disruption takes place. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;

    /** Plays the case and returns whether the rule held. */
    abstract boolean play(Cluster cluster, Record record) throws IOException;

    static void main(String folder, Case played) {
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
        int code;
        try (Record record = new Record(Path.of(folder, "record.txt"))) {
            try (Cluster cluster = new Cluster(record)) {
                record.line("disruption: %s", TROUBLE ? "yes" : "no");
                code = played.play(cluster, record) ? 0 : BROKEN;
            }
            record.line("exit %d", code);
        } catch (IOException | RuntimeException | Error e) {
            e.printStackTrace();
            code = NOT_RUN;
        }
        System.exit(code);
    }
}
