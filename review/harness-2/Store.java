import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** Stand-in for the platform's metadata store, as PROTOCOL.md describes it. */
final class Store {
    private static final int MAX_ROWS = 32;
    private static final int PAGE_ITEMS = 500;

    /** How long the store takes for an answer; the site sheets say 4 ms. */
    private static final long ANSWER_MS = 4;

    /** How long a call without an answer keeps its connection. */
    private static final long UNANSWERED_MS = 60_000;

    private record Item(String value, long revision, long created, long lease) {}

    private record Event(String key, long revision, Item item) {}

    private static final class Lease {
        long mTtlMs;
        long mEndsAtMs;
    }

    private final ObjectMapper mMapper = new ObjectMapper();
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final HttpServer mServer;
    private long mRevision = 1;
    private long mForgottenUpTo;
    private long mNextLease = 100;

    /** Watches that arrived before a loss of history are cut, and the number tells them apart. */
    private int mWatchGeneration;

    private boolean mWatchesDeaf;

    /** Calls that arrived before or during the newest silence get no answer any more. */
    private int mSilences;

    private boolean mSilent;
    private long mSilentSinceMs;

    Store() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 1024);
        mServer.setExecutor(Executors.newCachedThreadPool(Threads.daemons("store")));
        mServer.createContext("/", this::handle);
        mServer.start();
        Threads.every(20, this::endLeases);
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    void stop() {
        mServer.stop(0);
    }

    /** Writes a key as the operator or an executor does. */
    synchronized void write(String key, String text) {
        mRevision++;
        put(key, Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    /** Returns the text of a key, or an empty string. */
    synchronized String read(String key) {
        Item item = mItems.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.value), StandardCharsets.UTF_8);
    }

    /** Removes a key as the platform does. */
    synchronized void remove(String key) {
        mRevision++;
        delete(key);
        notifyAll();
    }

    /** The disruption platform_compact, first part: watches hear nothing. */
    synchronized void deafenWatches() {
        mWatchesDeaf = true;
    }

    /** The disruption platform_compact, second part: the history is dropped, watches are cut. */
    synchronized void forgetHistory() {
        mWatchesDeaf = false;
        mHistory.clear();
        mForgottenUpTo = mRevision;
        mWatchGeneration++;
        notifyAll();
    }

    /**
     * The disruption platform_down, silent: calls are not carried out and get no answer, then or
     * later; leases pause.
     */
    synchronized void fallSilent() {
        mSilent = true;
        mSilences++;
        mSilentSinceMs = nowMs();
        notifyAll();
    }

    /** Ends the silence for the calls that come from now on. */
    synchronized void speak() {
        mSilent = false;
        mLeases.values().forEach(lease -> lease.mEndsAtMs += nowMs() - mSilentSinceMs);
    }

    private void handle(HttpExchange call) throws IOException {
        try {
            byte[] body = call.getRequestBody().readAllBytes();
            String path = call.getRequestURI().getPath();
            int silences;
            synchronized (this) {
                silences = mSilences;
            }
            if (isUnanswered(silences)) {
                Threads.sleep(UNANSWERED_MS);
                call.close();
                return;
            }
            if (path.equals("/kv-watch")) {
                watch(call, query(call), silences);
                return;
            }
            Threads.sleep(ANSWER_MS);
            synchronized (this) {
                if (!isUnanswered(silences)) {
                    execute(call, path, body);
                    return;
                }
            }
            Threads.sleep(UNANSWERED_MS);
            call.close();
        } catch (RuntimeException e) {
            e.printStackTrace();
            call.close();
        }
    }

    private synchronized boolean isUnanswered(int silencesAtArrival) {
        return mSilent || mSilences != silencesAtArrival;
    }

    private void execute(HttpExchange call, String path, byte[] body) throws IOException {
        if (path.equals("/kv-key")) {
            String key = query(call).get("key");
            Item item = mItems.get(key);
            if (item == null) {
                answer(call, 404, mMapper.createObjectNode().put("as_of", mRevision));
            } else {
                answer(call, 200, row(key, item).put("as_of", mRevision));
            }
        } else if (path.equals("/kv-range")) {
            list(call, query(call));
        } else if (path.equals("/kv-txn")) {
            commit(call, mMapper.readTree(body));
            notifyAll();
        } else if (path.equals("/kv-lease")) {
            Lease lease = new Lease();
            lease.mTtlMs = mMapper.readTree(body).path("ttl_ms").asLong();
            lease.mEndsAtMs = nowMs() + lease.mTtlMs;
            long id = mNextLease++;
            mLeases.put(id, lease);
            answer(call, 200, mMapper.createObjectNode().put("lease", id).put("ttl_ms", lease.mTtlMs));
        } else if (path.startsWith("/kv-keep/")) {
            Lease lease = mLeases.get(lastNumber(path));
            if (lease == null) {
                answer(call, 404, mMapper.createObjectNode());
            } else {
                lease.mEndsAtMs = nowMs() + lease.mTtlMs;
                answer(call, 200, mMapper.createObjectNode().put("ttl_ms", lease.mTtlMs));
            }
        } else if (path.startsWith("/kv-lease-end/")) {
            long id = lastNumber(path);
            boolean known = mLeases.remove(id) != null;
            removeKeysOf(id);
            notifyAll();
            answer(call, known ? 200 : 404, mMapper.createObjectNode());
        } else {
            answer(call, 404, mMapper.createObjectNode());
        }
    }

    private void list(HttpExchange call, Map<String, String> query) throws IOException {
        String prefix = query.get("path_prefix");
        String after = query.getOrDefault("after", "");
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode items = body.putArray("items");
        boolean more = false;
        for (Map.Entry<String, Item> entry : mItems.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                if (items.size() == PAGE_ITEMS) {
                    more = true;
                    break;
                }
                items.add(row(entry.getKey(), entry.getValue()));
            }
        }
        answer(call, 200, body.put("has_more", more).put("as_of", mRevision));
    }

    private void commit(HttpExchange call, JsonNode request) throws IOException {
        JsonNode expect = request.path("expect");
        JsonNode writes = request.path("writes");
        JsonNode remove = request.path("remove");
        if (expect.size() + writes.size() + remove.size() > MAX_ROWS) {
            answer(call, 400, mMapper.createObjectNode());
            return;
        }
        for (JsonNode row : expect) {
            if (revisionOf(row.path("key").asText()) != row.path("revision").asLong()) {
                ObjectNode body = mMapper.createObjectNode();
                ArrayNode items = body.putArray("items");
                for (JsonNode each : expect) {
                    Item item = mItems.get(each.path("key").asText());
                    if (item != null) {
                        items.add(row(each.path("key").asText(), item));
                    }
                }
                answer(call, 412, body);
                return;
            }
        }
        for (JsonNode row : writes) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                answer(call, 404, mMapper.createObjectNode());
                return;
            }
        }
        mRevision++;
        for (JsonNode row : writes) {
            put(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
        }
        remove.forEach(key -> delete(key.asText()));
        answer(call, 200, mMapper.createObjectNode().put("revision", mRevision));
    }

    private void watch(HttpExchange call, Map<String, String> query, int silences)
            throws IOException {
        String prefix = query.get("path_prefix");
        long after = Long.parseLong(query.get("after"));
        long endMs = nowMs() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ObjectNode body = mMapper.createObjectNode();
        int status = 200;
        synchronized (this) {
            int generation = mWatchGeneration;
            ArrayNode events = body.putArray("events");
            while (true) {
                if (isUnanswered(silences)) {
                    break;
                }
                if (generation != mWatchGeneration) {
                    call.close();
                    return;
                }
                if (after < mForgottenUpTo) {
                    status = 410;
                    break;
                }
                if (!mWatchesDeaf) {
                    for (Event event : mHistory) {
                        if (event.revision > after && event.key.startsWith(prefix)) {
                            events.add(
                                    event.item == null
                                            ? mMapper.createObjectNode()
                                                    .put("key", event.key)
                                                    .put("revision", event.revision)
                                                    .put("deleted", true)
                                            : row(event.key, event.item));
                        }
                    }
                }
                long leftMs = endMs - nowMs();
                if (!events.isEmpty() || leftMs <= 0) {
                    break;
                }
                waitMs(leftMs);
            }
            // A deaf watch must not claim to have heard what it left out.
            body.put("as_of", mWatchesDeaf ? after : mRevision);
        }
        if (isUnanswered(silences)) {
            Threads.sleep(UNANSWERED_MS);
            call.close();
            return;
        }
        answer(call, status, body);
    }

    private synchronized void endLeases() {
        if (mSilent) {
            return;
        }
        List<Long> ended = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.mEndsAtMs <= nowMs()) {
                        ended.add(id);
                    }
                });
        for (long id : ended) {
            mLeases.remove(id);
            removeKeysOf(id);
            notifyAll();
        }
    }

    private void removeKeysOf(long lease) {
        List<String> keys = new ArrayList<>();
        mItems.forEach(
                (key, item) -> {
                    if (item.lease == lease) {
                        keys.add(key);
                    }
                });
        if (!keys.isEmpty()) {
            mRevision++;
            keys.forEach(this::delete);
        }
    }

    private long revisionOf(String key) {
        Item item = mItems.get(key);
        return item == null ? 0 : item.revision;
    }

    private void put(String key, String value, long lease) {
        Item old = mItems.get(key);
        Item item = new Item(value, mRevision, old == null ? mRevision : old.created, lease);
        mItems.put(key, item);
        mHistory.add(new Event(key, mRevision, item));
    }

    private void delete(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Event(key, mRevision, null));
        }
    }

    private ObjectNode row(String key, Item item) {
        return mMapper.createObjectNode()
                .put("key", key)
                .put("value", item.value)
                .put("revision", item.revision)
                .put("created", item.created)
                .put("lease", item.lease);
    }

    private void answer(HttpExchange call, int status, ObjectNode body) throws IOException {
        Http.answer(call, status, body.toString());
    }

    private void waitMs(long ms) {
        try {
            wait(Math.max(1, ms));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    private static Map<String, String> query(HttpExchange call) {
        Map<String, String> query = new HashMap<>();
        String text = call.getRequestURI().getRawQuery();
        if (text != null) {
            for (String part : text.split("&")) {
                int equals = part.indexOf('=');
                query.put(
                        part.substring(0, equals),
                        URLDecoder.decode(part.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return query;
    }

    private static long lastNumber(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private static long nowMs() {
        return System.nanoTime() / 1_000_000;
    }
}
