package org.lycheeroad.entry.control;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.lycheeroad.coordination.config.TableAction;
import org.lycheeroad.coordination.config.TableEvent;
import org.lycheeroad.coordination.config.TableKeeper;
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
import org.lycheeroad.transport.store.BackOff;
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
        void onTableChanged(OperatorTable table);

        /**
         * Asks a peer for its table if it is newer; a failed future means no answer.
         *
         * @param knownVersion the version that this entry has
         */
        CompletableFuture<TableReply> fetchTable(EntryId peer, long knownVersion);

        /** Something happened that belongs on the time line. */
        void onEvent(EventCode code, String text);
    }

    private static final Logger LOG = LoggerFactory.getLogger(TableService.class);

    /** The store's limit of 1 MB for a value, less the room for attempt ids and JSON escapes. */
    private static final int MAX_CSV_CHARS = 700_000;

    private static final long RESOLVE_TIMEOUT_MILLIS = 5_000;

    /** A save is refused only after this time, as the breaker may still refuse calls by then. */
    private static final long UNAVAILABLE_TIMEOUT_MILLIS = 2_000;

    private static final StoredTable EMPTY_TABLE = new StoredTable(0, "", "", List.of());

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final Listener mListener;
    private final AttemptIdGenerator mAttemptIds;
    private final Random mRandom;
    private final TableKeeper mVersionSelector = new TableKeeper(ControlLoop.nowMillis());
    private volatile Optional<OperatorTable> mCurrentTable = Optional.empty();
    private volatile String mCurrentCsv = "";
    private volatile boolean mReady;

    TableService(
            StoreClient store,
            ControlLoop loop,
            AttemptIdGenerator attempts,
            Random random,
            Listener listener) {
        mStore = store;
        mLoop = loop;
        mAttemptIds = attempts;
        mRandom = random;
        mListener = listener;
    }

    Optional<OperatorTable> currentTable() {
        return mCurrentTable;
    }

    String currentCsv() {
        return mCurrentCsv;
    }

    boolean isReady() {
        return mReady;
    }

    long version() {
        return mVersionSelector.version();
    }

    /** Passes an event to the keeper and carries out what it decides. */
    void handle(TableEvent event) {
        for (TableAction action : mVersionSelector.handle(event, ControlLoop.nowMillis())) {
            if (action instanceof TableAction.Apply a) {
                apply(a);
            } else if (action instanceof TableAction.Request r) {
                mLoop.whenComplete(
                        mListener.fetchTable(r.peer(), r.knownVersion()), this::onFetched);
            }
        }
        mReady = mVersionSelector.isReady() && mCurrentTable.isPresent();
    }

    /** Takes in the table's key from the watch. */
    void onPut(KeyValue kv) {
        try {
            StoredTable stored = Json.read(kv.value(), StoredTable.class);
            handle(new TableEvent.Received(stored.version(), stored.csv()));
        } catch (JsonException e) {
            LOG.error("The table in the store is not readable", e);
        }
    }

    /** Saves a table, from any thread; the future completes on the control thread. */
    CompletableFuture<SaveTableResult> save(String csv, long expectedVersion) {
        CompletableFuture<SaveTableResult> result = new CompletableFuture<>();
        if (!mLoop.tryExecute(() -> save(csv, expectedVersion, result))) {
            completeSave(result, SaveTableResult.Status.UNAVAILABLE, 0, List.of());
        }
        return result;
    }

    private void save(String csv, long expectedVersion, CompletableFuture<SaveTableResult> result) {
        List<TableRow> rows;
        try {
            rows = TableCsv.parse(csv);
        } catch (TableException e) {
            completeSave(
                    result,
                    SaveTableResult.Status.INVALID,
                    mVersionSelector.version(),
                    e.problems());
            return;
        }
        if (csv.length() > MAX_CSV_CHARS) {
            String reason = "the table has more than " + MAX_CSV_CHARS + " characters";
            List<TableProblem> problems = List.of(new TableProblem(0, "", reason));
            completeSave(
                    result, SaveTableResult.Status.INVALID, mVersionSelector.version(), problems);
            return;
        }
        SaveRequest draft =
                new SaveRequest(csv, rows, expectedVersion, result, ControlLoop.nowMillis());
        readStoredTable(draft, newBackOff());
    }

    /** A table to save, before it is known on which stored table it is written. */
    private record SaveRequest(
            String csv,
            List<TableRow> rows,
            long expectedVersion,
            CompletableFuture<SaveTableResult> result,
            long startedAtMillis) {}

    /** Reads the stored table, again for a while, as a store that was down may just be back. */
    private void readStoredTable(SaveRequest draft, BackOff backOff) {
        mLoop.whenComplete(
                mStore.get(Mechanism.TABLE, StoreKeys.TABLE_KEY),
                (read, failure) -> {
                    if (failure == null) {
                        save(draft, read);
                    } else if (ControlLoop.nowMillis() - draft.startedAtMillis()
                            > UNAVAILABLE_TIMEOUT_MILLIS) {
                        completeSave(
                                draft.result(),
                                SaveTableResult.Status.UNAVAILABLE,
                                mVersionSelector.version(),
                                List.of());
                    } else {
                        mLoop.schedule(backOff.nextMillis(), () -> readStoredTable(draft, backOff));
                    }
                });
    }

    private void onFetched(TableReply reply, Throwable failure) {
        if (failure == null && !reply.getCsv().isEmpty()) {
            handle(new TableEvent.Received(reply.getVersion(), reply.getCsv()));
        }
    }

    private void save(SaveRequest draft, Optional<KeyValue> read) {
        StoredTable stored;
        try {
            stored =
                    read.isEmpty() ? EMPTY_TABLE : Json.read(read.get().value(), StoredTable.class);
        } catch (JsonException e) {
            LOG.error("The table in the store is not readable", e);
            completeSave(
                    draft.result(),
                    SaveTableResult.Status.UNAVAILABLE,
                    mVersionSelector.version(),
                    List.of());
            return;
        }
        handle(new TableEvent.Received(stored.version(), stored.csv()));
        // A store that was set back must not make versions go back.
        long newest = Math.max(stored.version(), mVersionSelector.version());
        if (newest != draft.expectedVersion()) {
            completeConflict(draft.rows(), newest, mVersionSelector.csv(), draft.result());
            return;
        }
        StoredTable next = stored.successor(newest + 1, draft.csv(), mAttemptIds.nextId());
        long revision = read.map(KeyValue::modRevision).orElse(0L);
        TableWrite save = new TableWrite(draft, next, newest, revision);
        writeTable(save, newBackOff(), false);
    }

    private record TableWrite(
            SaveRequest request, StoredTable newTable, long baseVersion, long baseRevision) {
        CompletableFuture<SaveTableResult> result() {
            return request.result();
        }
    }

    /**
     * Writes the table, again with the same attempt id while the answer is lost.
     *
     * <p>Reading alone would not settle a write that is still on its way. Writing again does:
     * either it succeeds, or the key has changed and the first write can no longer take effect.
     */
    private void writeTable(TableWrite save, BackOff backOff, boolean maybeWritten) {
        StoreTxn txn =
                new StoreTxn(
                        List.of(
                                StoreCompare.unchangedSince(
                                        StoreKeys.TABLE_KEY, save.baseRevision())),
                        List.of(StoreOp.put(StoreKeys.TABLE_KEY, Json.write(save.newTable()))),
                        List.of(StoreOp.get(StoreKeys.TABLE_KEY)));
        BiConsumer<org.lycheeroad.protocol.store.TxnAnswer, Throwable> onAnswer =
                (answer, failure) -> {
                    if (failure != null) {
                        onWriteFailed(save, backOff, maybeWritten, StoreException.kindOf(failure));
                    } else if (answer.succeeded()) {
                        completeAccepted(save);
                    } else {
                        resolveConflictingWrite(save, answer.read(0));
                    }
                };
        mLoop.whenComplete(mStore.txn(Mechanism.TABLE, txn), onAnswer);
    }

    private void onWriteFailed(
            TableWrite save, BackOff backOff, boolean maybe, StoreException.Kind kind) {
        boolean maybeWritten = maybe || kind == StoreException.Kind.UNSETTLED;
        long patience = maybeWritten ? RESOLVE_TIMEOUT_MILLIS : UNAVAILABLE_TIMEOUT_MILLIS;
        if (ControlLoop.nowMillis() - save.request().startedAtMillis() > patience) {
            completeSave(
                    save.result(),
                    maybeWritten
                            ? SaveTableResult.Status.UNSETTLED
                            : SaveTableResult.Status.UNAVAILABLE,
                    mVersionSelector.version(),
                    List.of());
        } else {
            mLoop.schedule(backOff.nextMillis(), () -> writeTable(save, backOff, maybeWritten));
        }
    }

    private void resolveConflictingWrite(TableWrite save, KeyValue read) {
        StoredTable stored = EMPTY_TABLE;
        try {
            stored = read == null ? EMPTY_TABLE : Json.read(read.value(), StoredTable.class);
        } catch (JsonException e) {
            LOG.error("The table in the store is not readable", e);
        }
        handle(new TableEvent.Received(stored.version(), stored.csv()));
        if (stored.includesSave(save.newTable().attempt())) {
            completeAccepted(save);
        } else if (stored.listsAllSavesSince(save.baseVersion())) {
            completeConflict(save.request().rows(), stored.version(), stored.csv(), save.result());
        } else {
            completeSave(
                    save.result(), SaveTableResult.Status.UNSETTLED, stored.version(), List.of());
        }
    }

    private void completeAccepted(TableWrite save) {
        StoredTable next = save.newTable();
        handle(new TableEvent.Received(next.version(), next.csv()));
        mListener.onEvent(EventCode.TABLE_SAVED, "version " + next.version());
        completeSave(save.result(), SaveTableResult.Status.ACCEPTED, next.version(), List.of());
    }

    private void completeConflict(
            List<TableRow> rows,
            long version,
            String storedCsv,
            CompletableFuture<SaveTableResult> result) {
        List<TableRow> stored = List.of();
        try {
            stored = storedCsv.isEmpty() ? List.of() : TableCsv.parse(storedCsv);
        } catch (TableException e) {
            LOG.error("The table in the store has mistakes: {}", e.problems());
        }
        mListener.onEvent(EventCode.TABLE_CONFLICT, "stored version " + version);
        completeSave(
                result,
                SaveTableResult.Status.CONFLICT,
                version,
                TableDiff.differences(rows, stored));
    }

    private void apply(TableAction.Apply action) {
        try {
            OperatorTable table = new OperatorTable(action.version(), TableCsv.parse(action.csv()));
            mCurrentCsv = action.csv();
            mCurrentTable = Optional.of(table);
            mListener.onTableChanged(table);
            mListener.onEvent(EventCode.TABLE_IN_FORCE, "version " + action.version());
        } catch (TableException e) {
            LOG.error("Table version {} has mistakes: {}", action.version(), e.problems());
        }
    }

    private BackOff newBackOff() {
        return new BackOff(50, 500, mRandom);
    }

    private static void completeSave(
            CompletableFuture<SaveTableResult> result,
            SaveTableResult.Status status,
            long version,
            List<TableProblem> problems) {
        result.complete(new SaveTableResult(status, version, problems));
    }
}
