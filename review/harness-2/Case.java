import java.io.IOException;
import java.nio.file.Path;

/** Runs one case: exits with 1 if its rule was broken, 0 if it held, 2 if it could not run. */
public abstract class Case {
    private static final long LIMIT_MS = 115_000;

    protected final Deployment mDeployment;
    protected final Record mRecord;
    protected final boolean mTrouble;

    protected Case(Deployment deployment, boolean trouble) {
        mDeployment = deployment;
        mRecord = deployment.record;
        mTrouble = trouble;
    }

    /** Plays the case; returns whether the rule was broken. */
    protected abstract boolean play() throws IOException;

    /** The condition that a case needs in order to run. */
    protected void require(boolean condition, String what) throws IOException {
        if (!condition) {
            throw new IOException("the case could not run: " + what);
        }
    }

    /** Waits until a condition holds or a time is over; returns whether it holds. */
    protected boolean await(long ms, java.util.function.BooleanSupplier condition) {
        long endMs = mRecord.nowMs() + ms;
        while (!condition.getAsBoolean()) {
            if (mRecord.nowMs() > endMs) {
                return false;
            }
            Threads.sleep(20);
        }
        return true;
    }

    /** Arguments: the repository's root, the case's folder and the name of its class. */
    public static void main(String[] arguments) {
        Path root = Path.of(arguments[0]).toAbsolutePath();
        Record record = new Record(Path.of(arguments[1], "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status = 2;
        Threads.after(
                LIMIT_MS,
                () -> {
                    record.add("verdict: could not run, it took too long");
                    Runtime.getRuntime().exit(2);
                });
        try {
            Deployment deployment = new Deployment(root, record);
            record.add("case %s, trouble %s", arguments[2], trouble);
            Case each =
                    (Case)
                            Class.forName(arguments[2])
                                    .getDeclaredConstructor(Deployment.class, boolean.class)
                                    .newInstance(deployment, trouble);
            boolean broken = each.play();
            record.add("verdict: the rule %s", broken ? "is broken" : "held");
            status = broken ? 1 : 0;
        } catch (IOException | ReflectiveOperationException | RuntimeException e) {
            record.add("verdict: could not run: %s", e);
            e.printStackTrace();
        }
        System.exit(status);
    }
}
