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

/** Loads, saves and applies the operators' table on the control thread. */
final class TableService {
    /** Receives table changes and events, and fetches tables from peers. */
    interface Listener {
        /** Called when a table has been applied. */
        void onTableChanged(OperatorTable table);

        /**
         * Fetches the table of a peer if it is newer; the future fails if there is no reply.
         *
         * @param knownVersion the version applied by this entry
         */
        CompletableFuture<TableReply> fetchTable(EntryId peer, long knownVersion);

        /** Called for each event that belongs in the event log. */
        void onEvent(EventCode code, String text);
    }

    private static final Logger LOG = LoggerFactory.getLogger(TableService.class);

    /**
     * Leaves room for attempt ids and JSON escapes within the store's limit of 1 MB for a value.
     */
    private static final int MAX_CSV_CHARS = 700_000;

    /** How long the read, and then the write, of a save is retried while answers are lost. */
    private static final long RESOLVE_TIMEOUT_MILLIS = 5_000;

    /**
     * How long each of them is retried while the store is unavailable.
     *
     * <p>The circuit breaker may reject calls for a while after the store has recovered.
     */
    private static final long UNAVAILABLE_TIMEOUT_MILLIS = 2_000;

    private static final StoredTable EMPTY_TABLE = new StoredTable(0, "", "", List.of());

    private final StoreClient mStore;
    private final ControlLoop mLoop;
    private final Listener mListener;
    private final AttemptIdGenerator mAttemptIds;
    private final Random mRandom;
    private final TableVersionSelector mVersionSelector =
            new TableVersionSelector(ControlLoop.nowMillis());
    private volatile Optional<OperatorTable> mCurrentTable = Optional.empty();
    private volatile String mCurrentCsv = "";
    private volatile boolean mReady;

    TableService(
            StoreClient store,
            ControlLoop loop,
            AttemptIdGenerator attemptIds,
            Random random,
            Listener listener) {
        mStore = store;
        mLoop = loop;
        mAttemptIds = attemptIds;
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

    /** Passes an event to the version selector and performs the resulting actions. */
    void handle(TableEvent event) {
        for (TableAction action : mVersionSelector.handle(event, ControlLoop.nowMillis())) {
            if (action instanceof TableAction.Apply a) {
                apply(a);
            } else if (action instanceof TableAction.FetchFromPeer r) {
                mLoop.whenComplete(
                        mListener.fetchTable(r.peer(), r.knownVersion()), this::onFetched);
            }
        }
        mReady = mVersionSelector.isReady() && mCurrentTable.isPresent();
    }

    /** Processes the table's key from the watch. */
    void onPut(KeyValue kv) {
        try {
            StoredTable stored = Json.read(kv.value(), StoredTable.class);
            handle(new TableEvent.VersionReceived(stored.version(), stored.csv()));
        } catch (JsonException e) {
            LOG.error("Failed to parse the table in the store", e);
        }
    }

    /** Saves a table; may be called on any thread. The future completes on the control thread. */
    CompletableFuture<SaveTableResult> save(String csv, long expectedVersion) {
        CompletableFuture<SaveTableResult> result = new CompletableFuture<>();
        if (!mLoop.tryExecute(() -> validateAndSave(csv, expectedVersion, result))) {
            completeSave(result, SaveTableResult.Status.UNAVAILABLE, 0, List.of());
        }
        return result;
    }

    private void validateAndSave(
            String csv, long expectedVersion, CompletableFuture<SaveTableResult> result) {
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
        SaveRequest request =
                new SaveRequest(csv, rows, expectedVersion, result, ControlLoop.nowMillis());
        readStoredTable(request, newBackOff(), false);
    }

    /** A requested save, before the stored table that it replaces is known. */
    private record SaveRequest(
            String csv,
            List<TableRow> rows,
            long expectedVersion,
            CompletableFuture<SaveTableResult> result,
            long startedAtMillis) {}

    /** Reads the stored table, with retries because the store may be recovering from an outage. */
    private void readStoredTable(
            SaveRequest request, ExponentialBackoff backOff, boolean answerLostBefore) {
        mLoop.whenComplete(
                mStore.get(Mechanism.TABLE, StoreKeys.TABLE_KEY),
                (storedValue, failure) -> {
                    if (failure == null) {
                        replaceStoredTable(request, storedValue);
                        return;
                    }
                    boolean answerLost =
                            answerLostBefore
                                    || StoreException.kindOf(failure)
                                            == StoreException.Kind.UNSETTLED;
                    if (isTimeOver(request.startedAtMillis(), answerLost)) {
                        completeSave(
                                request.result(),
                                SaveTableResult.Status.UNAVAILABLE,
                                mVersionSelector.version(),
                                List.of());
                    } else {
                        mLoop.schedule(
                                backOff.nextDelayMs(),
                                () -> readStoredTable(request, backOff, answerLost));
                    }
                });
    }

    /** Returns whether a call that failed is not to be repeated. */
    private static boolean isTimeOver(long startedAtMillis, boolean answerLost) {
        return ControlLoop.nowMillis() - startedAtMillis
                > (answerLost ? RESOLVE_TIMEOUT_MILLIS : UNAVAILABLE_TIMEOUT_MILLIS);
    }

    private void onFetched(TableReply reply, Throwable failure) {
        if (failure == null && !reply.getCsv().isEmpty()) {
            handle(new TableEvent.VersionReceived(reply.getVersion(), reply.getCsv()));
        }
    }

    private void replaceStoredTable(SaveRequest request, Optional<KeyValue> storedValue) {
        StoredTable stored;
        try {
            stored =
                    storedValue.isEmpty()
                            ? EMPTY_TABLE
                            : Json.read(storedValue.get().value(), StoredTable.class);
        } catch (JsonException e) {
            LOG.error("Failed to parse the table in the store", e);
            completeSave(
                    request.result(),
                    SaveTableResult.Status.UNAVAILABLE,
                    mVersionSelector.version(),
                    List.of());
            return;
        }
        handle(new TableEvent.VersionReceived(stored.version(), stored.csv()));
        // Versions must not decrease if the store was restored from an older state.
        long newestVersion = Math.max(stored.version(), mVersionSelector.version());
        if (newestVersion != request.expectedVersion()) {
            completeConflict(
                    request.rows(), newestVersion, mVersionSelector.csv(), request.result());
            return;
        }
        StoredTable newTable =
                stored.successor(newestVersion + 1, request.csv(), mAttemptIds.nextId());
        long baseRevision = storedValue.map(KeyValue::modRevision).orElse(0L);
        // The time that the read took must not leave the write without any.
        long startedAtMillis = ControlLoop.nowMillis();
        TableWrite write =
                new TableWrite(request, newTable, newestVersion, baseRevision, startedAtMillis);
        writeTable(write, newBackOff(), false);
    }

    private record TableWrite(
            SaveRequest request,
            StoredTable newTable,
            long baseVersion,
            long baseRevision,
            long startedAtMillis) {
        CompletableFuture<SaveTableResult> result() {
            return request.result();
        }
    }

    /**
     * Writes the table, retrying with the same attempt id while the response is lost.
     *
     * <p>A read cannot show whether a write that is still in flight will take effect. A repeated
     * write can: either it succeeds, or the key has changed and the first write can no longer take
     * effect.
     */
    private void writeTable(TableWrite write, ExponentialBackoff backOff, boolean maybeWritten) {
        StoreTxn txn =
                new StoreTxn(
                        List.of(
                                StoreCompare.unchangedSince(
                                        StoreKeys.TABLE_KEY, write.baseRevision())),
                        List.of(StoreOp.put(StoreKeys.TABLE_KEY, Json.write(write.newTable()))),
                        List.of(StoreOp.get(StoreKeys.TABLE_KEY)));
        BiConsumer<org.lycheeroad.protocol.store.TxnResponse, Throwable> onResponse =
                (response, failure) -> {
                    if (failure != null) {
                        onWriteFailed(write, backOff, maybeWritten, StoreException.kindOf(failure));
                    } else if (response.succeeded()) {
                        completeAccepted(write);
                    } else {
                        resolveConflictingWrite(write, response.firstKeyValue(0));
                    }
                };
        mLoop.whenComplete(mStore.txn(Mechanism.TABLE, txn), onResponse);
    }

    private void onWriteFailed(
            TableWrite write,
            ExponentialBackoff backOff,
            boolean maybeWrittenBefore,
            StoreException.Kind kind) {
        boolean maybeWritten = maybeWrittenBefore || kind == StoreException.Kind.UNSETTLED;
        if (isTimeOver(write.startedAtMillis(), maybeWritten)) {
            completeSave(
                    write.result(),
                    maybeWritten
                            ? SaveTableResult.Status.UNSETTLED
                            : SaveTableResult.Status.UNAVAILABLE,
                    mVersionSelector.version(),
                    List.of());
        } else {
            mLoop.schedule(backOff.nextDelayMs(), () -> writeTable(write, backOff, maybeWritten));
        }
    }

    private void resolveConflictingWrite(TableWrite write, KeyValue storedValue) {
        StoredTable stored = EMPTY_TABLE;
        try {
            stored =
                    storedValue == null
                            ? EMPTY_TABLE
                            : Json.read(storedValue.value(), StoredTable.class);
        } catch (JsonException e) {
            LOG.error("Failed to parse the table in the store", e);
        }
        handle(new TableEvent.VersionReceived(stored.version(), stored.csv()));
        if (stored.includesSave(write.newTable().attempt())) {
            completeAccepted(write);
        } else if (stored.listsAllSavesSince(write.baseVersion())) {
            completeConflict(
                    write.request().rows(), stored.version(), stored.csv(), write.result());
        } else {
            completeSave(
                    write.result(), SaveTableResult.Status.UNSETTLED, stored.version(), List.of());
        }
    }

    private void completeAccepted(TableWrite write) {
        StoredTable newTable = write.newTable();
        handle(new TableEvent.VersionReceived(newTable.version(), newTable.csv()));
        mListener.onEvent(EventCode.TABLE_SAVED, "version " + newTable.version());
        completeSave(
                write.result(), SaveTableResult.Status.ACCEPTED, newTable.version(), List.of());
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
            LOG.error("The table in the store is invalid: {}", e.problems());
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
            LOG.error(
                    "Table version {} is invalid and was not applied: {}",
                    action.version(),
                    e.problems());
        }
    }

    private ExponentialBackoff newBackOff() {
        return new ExponentialBackoff(50, 500, mRandom);
    }

    private static void completeSave(
            CompletableFuture<SaveTableResult> result,
            SaveTableResult.Status status,
            long version,
            List<TableProblem> problems) {
        result.complete(new SaveTableResult(status, version, problems));
    }
}
