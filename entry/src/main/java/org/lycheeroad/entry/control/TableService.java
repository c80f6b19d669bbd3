package org.lycheeroad.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.lycheeroad.coordination.config.TableAction;
import org.lycheeroad.coordination.config.TableEvent;
import org.lycheeroad.coordination.config.TableVersionSelector;
import org.lycheeroad.protocol.json.Json;
import org.lycheeroad.protocol.json.JsonException;
import org.lycheeroad.protocol.peer.TableReply;
import org.lycheeroad.protocol.store.KeyValue;
import org.lycheeroad.protocol.store.StoreCompare;
import org.lycheeroad.protocol.store.StoreOp;
import org.lycheeroad.protocol.store.StoreTxn;
import org.lycheeroad.state.event.EventCode;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableCsv;
import org.lycheeroad.state.table.TableDiff;
import org.lycheeroad.state.table.TableException;
import org.lycheeroad.state.table.TableProblem;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.transport.store.ExponentialBackoff;
import org.lycheeroad.transport.store.Mechanism;
import org.lycheeroad.transport.store.StoreClient;
import org.lycheeroad.transport.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Loads, saves and applies the operators' table; runs on the control thread. */
final class TableService {
    /** What the table means to the rest of the control plane. */
    interface Listener {
        /** The table is in force from now on. */
        void onTable(OperatorTable table);

        /**
         * Asks a peer for its table if it is newer; a failed future means no answer.
         *
         * @param knownVersion the version that this entry has
         */
        CompletableFuture<TableReply> fetch(EntryId peer, long knownVersion);

        /** Something happened that belongs on the time line. */
        void onEvent(EventCode code, String text);
    }

    private static final Logger LOG = LoggerFactory.getLogger(TableService.class);

    /** The store's limit of 1 MB for a value, less the room for attempt ids and JSON escapes. */
    private static final int MAX_CSV_CHARS = 700_000;

    private static final long SETTLE_MILLIS = 5_000;

    /** A save is refused only after this time, as the breaker may still refuse calls by then. */
    private static final long UNAVAILABLE_MILLIS = 2_000;

    private static final StoredTable NONE = new StoredTable(0, "", "", List.of());

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final Listener mListener;
    private final AttemptIds mAttempts;
    private final Random mRandom;
    private final TableVersionSelector mKeeper = new TableVersionSelector(ControlLoop.now());
    private volatile Optional<OperatorTable> mInForce = Optional.empty();
    private volatile String mCsv = "";
    private volatile boolean mReady;

    TableService(
            StoreClient store,
            ControlLoop loop,
            AttemptIds attempts,
            Random random,
            Listener listener) {
        mStore = store;
        mLoop = loop;
        mAttempts = attempts;
        mRandom = random;
        mListener = listener;
    }

    Optional<OperatorTable> table() {
        return mInForce;
    }

    String csv() {
        return mCsv;
    }

    boolean isReady() {
        return mReady;
    }

    long version() {
        return mKeeper.version();
    }

    /** Passes an event to the keeper and carries out what it decides. */
    void handle(TableEvent event) {
        for (TableAction action : mKeeper.handle(event, ControlLoop.now())) {
            if (action instanceof TableAction.Apply a) {
                apply(a);
            } else if (action instanceof TableAction.FetchFromPeer r) {
                mLoop.on(mListener.fetch(r.peer(), r.knownVersion()), this::onFetched);
            }
        }
        mReady = mKeeper.isReady() && mInForce.isPresent();
    }

    /** Takes in the table's key from the watch. */
    void onStored(KeyValue kv) {
        try {
            StoredTable stored = Json.read(kv.value(), StoredTable.class);
            handle(new TableEvent.VersionReceived(stored.version(), stored.csv()));
        } catch (JsonException e) {
            LOG.error("The table in the store is not readable", e);
        }
    }

    /** Saves a table, from any thread; the future completes on the control thread. */
    CompletableFuture<SaveResult> save(String csv, long expectedVersion) {
        CompletableFuture<SaveResult> result = new CompletableFuture<>();
        if (!mLoop.offer(() -> save(csv, expectedVersion, result))) {
            end(result, SaveResult.Status.UNAVAILABLE, 0, List.of());
        }
        return result;
    }

    private void save(String csv, long expectedVersion, CompletableFuture<SaveResult> result) {
        List<TableRow> rows;
        try {
            rows = TableCsv.parse(csv);
        } catch (TableException e) {
            end(result, SaveResult.Status.INVALID, mKeeper.version(), e.problems());
            return;
        }
        if (csv.length() > MAX_CSV_CHARS) {
            String reason = "the table has more than " + MAX_CSV_CHARS + " characters";
            List<TableProblem> problems = List.of(new TableProblem(0, "", reason));
            end(result, SaveResult.Status.INVALID, mKeeper.version(), problems);
            return;
        }
        Draft draft = new Draft(csv, rows, expectedVersion, result, ControlLoop.now());
        read(draft, newBackOff());
    }

    /** A table to save, before it is known on which stored table it is written. */
    private record Draft(
            String csv,
            List<TableRow> rows,
            long expectedVersion,
            CompletableFuture<SaveResult> result,
            long startedAt) {}

    /** Reads the stored table, again for a while, as a store that was down may just be back. */
    private void read(Draft draft, ExponentialBackoff backOff) {
        mLoop.on(
                mStore.get(Mechanism.TABLE, StoreKeys.TABLE),
                (read, failure) -> {
                    if (failure == null) {
                        save(draft, read);
                    } else if (ControlLoop.now() - draft.startedAt() > UNAVAILABLE_MILLIS) {
                        end(
                                draft.result(),
                                SaveResult.Status.UNAVAILABLE,
                                mKeeper.version(),
                                List.of());
                    } else {
                        mLoop.later(backOff.nextDelayMs(), () -> read(draft, backOff));
                    }
                });
    }

    private void onFetched(TableReply reply, Throwable failure) {
        if (failure == null && !reply.getCsv().isEmpty()) {
            handle(new TableEvent.VersionReceived(reply.getVersion(), reply.getCsv()));
        }
    }

    private void save(Draft draft, Optional<KeyValue> read) {
        StoredTable stored;
        try {
            stored = read.isEmpty() ? NONE : Json.read(read.get().value(), StoredTable.class);
        } catch (JsonException e) {
            LOG.error("The table in the store is not readable", e);
            end(draft.result(), SaveResult.Status.UNAVAILABLE, mKeeper.version(), List.of());
            return;
        }
        handle(new TableEvent.VersionReceived(stored.version(), stored.csv()));
        // A store that was set back must not make versions go back.
        long newest = Math.max(stored.version(), mKeeper.version());
        if (newest != draft.expectedVersion()) {
            conflict(draft.rows(), newest, mKeeper.csv(), draft.result());
            return;
        }
        StoredTable next = stored.next(newest + 1, draft.csv(), mAttempts.next());
        long revision = read.map(KeyValue::modRevision).orElse(0L);
        Save save = new Save(draft, next, newest, revision);
        write(save, newBackOff(), false);
    }

    private record Save(Draft draft, StoredTable next, long base, long revision) {
        CompletableFuture<SaveResult> result() {
            return draft.result();
        }
    }

    /**
     * Writes the table, again with the same attempt id while the answer is lost.
     *
     * <p>Reading alone would not settle a write that is still on its way. Writing again does:
     * either it succeeds, or the key has changed and the first write can no longer take effect.
     */
    private void write(Save save, ExponentialBackoff backOff, boolean maybeWritten) {
        StoreTxn txn =
                new StoreTxn(
                        List.of(StoreCompare.unchangedSince(StoreKeys.TABLE, save.revision())),
                        List.of(StoreOp.put(StoreKeys.TABLE, Json.write(save.next()))),
                        List.of(StoreOp.get(StoreKeys.TABLE)));
        BiConsumer<org.lycheeroad.protocol.store.TxnResponse, Throwable> onAnswer =
                (answer, failure) -> {
                    if (failure != null) {
                        onLost(save, backOff, maybeWritten, StoreException.kindOf(failure));
                    } else if (answer.succeeded()) {
                        accepted(save);
                    } else {
                        settle(save, answer.firstKeyValue(0));
                    }
                };
        mLoop.on(mStore.txn(Mechanism.TABLE, txn), onAnswer);
    }

    private void onLost(
            Save save, ExponentialBackoff backOff, boolean maybe, StoreException.Kind kind) {
        boolean maybeWritten = maybe || kind == StoreException.Kind.UNSETTLED;
        long patience = maybeWritten ? SETTLE_MILLIS : UNAVAILABLE_MILLIS;
        if (ControlLoop.now() - save.draft().startedAt() > patience) {
            end(
                    save.result(),
                    maybeWritten ? SaveResult.Status.UNSETTLED : SaveResult.Status.UNAVAILABLE,
                    mKeeper.version(),
                    List.of());
        } else {
            mLoop.later(backOff.nextDelayMs(), () -> write(save, backOff, maybeWritten));
        }
    }

    private void settle(Save save, KeyValue read) {
        StoredTable stored = NONE;
        try {
            stored = read == null ? NONE : Json.read(read.value(), StoredTable.class);
        } catch (JsonException e) {
            LOG.error("The table in the store is not readable", e);
        }
        handle(new TableEvent.VersionReceived(stored.version(), stored.csv()));
        if (stored.contains(save.next().attempt())) {
            accepted(save);
        } else if (stored.knowsAllSince(save.base())) {
            conflict(save.draft().rows(), stored.version(), stored.csv(), save.result());
        } else {
            end(save.result(), SaveResult.Status.UNSETTLED, stored.version(), List.of());
        }
    }

    private void accepted(Save save) {
        StoredTable next = save.next();
        handle(new TableEvent.VersionReceived(next.version(), next.csv()));
        mListener.onEvent(EventCode.TABLE_SAVED, "version " + next.version());
        end(save.result(), SaveResult.Status.ACCEPTED, next.version(), List.of());
    }

    private void conflict(
            List<TableRow> rows,
            long version,
            String storedCsv,
            CompletableFuture<SaveResult> result) {
        List<TableRow> stored = List.of();
        try {
            stored = storedCsv.isEmpty() ? List.of() : TableCsv.parse(storedCsv);
        } catch (TableException e) {
            LOG.error("The table in the store has mistakes: {}", e.problems());
        }
        mListener.onEvent(EventCode.TABLE_CONFLICT, "stored version " + version);
        end(result, SaveResult.Status.CONFLICT, version, TableDiff.differences(rows, stored));
    }

    private void apply(TableAction.Apply action) {
        try {
            OperatorTable table = new OperatorTable(action.version(), TableCsv.parse(action.csv()));
            mCsv = action.csv();
            mInForce = Optional.of(table);
            mListener.onTable(table);
            mListener.onEvent(EventCode.TABLE_IN_FORCE, "version " + action.version());
        } catch (TableException e) {
            LOG.error("Table version {} has mistakes: {}", action.version(), e.problems());
        }
    }

    private ExponentialBackoff newBackOff() {
        return new ExponentialBackoff(50, 500, mRandom);
    }

    private static void end(
            CompletableFuture<SaveResult> result,
            SaveResult.Status status,
            long version,
            List<TableProblem> problems) {
        result.complete(new SaveResult(status, version, problems));
    }
}
