package review;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Stand-in for the platform's metadata store, form {@code kv}. It keeps its whole history. */
final class Store {
    /** The value_bytes of the settings. */
    static final int VALUE_BYTES = 1_048_576;

    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;
    private static final int MAX_TXN_ROWS = 32;

    /** The time that an answer takes. */
    private static final long ANSWER_MS = 4;

    private static final class Item {
        String mValue;
        long mRevision;
        long mCreated;
        long mLease;
    }

    private static final class Lease {
        long mTtlMs;
        long mEndsAtMs;
    }

    private record Event(String key, long revision, ObjectNode json) {}

    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Event> mHistory = new ArrayList<>();
    private final ScheduledExecutorService mTimer =
            Executors.newSingleThreadScheduledExecutor(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });
    private final HttpServer mServer;
    private long mRevision = 100;
    private long mLastLease = 7_000;

    Store() throws IOException {
        mServer = Http.serve(0, this::handle);
        mTimer.scheduleAtFixedRate(this::endLeases, 20, 20, TimeUnit.MILLISECONDS);
    }

    int port() {
        return mServer.getAddress().getPort();
    }

    /** Writes a key as the operator or an executor does. */
    synchronized void write(String key, String value) {
        mRevision++;
        put(key, Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8)), 0);
        notifyAll();
    }

    /** Removes a key as the platform does with an executor's entry. */
    synchronized void remove(String key) {
        mRevision++;
        delete(key);
        notifyAll();
    }

    /** Returns the decoded value of a key, or an empty string. */
    synchronized String read(String key) {
        Item item = mItems.get(key);
        return item == null
                ? ""
                : new String(Base64.getDecoder().decode(item.mValue), StandardCharsets.UTF_8);
    }

    private void handle(HttpExchange exchange) throws IOException {
        JsonNode body = Http.body(exchange);
        String path = exchange.getRequestURI().getPath();
        Map<String, String> query = Http.query(exchange);
        Http.sleep(ANSWER_MS);
        if (path.equals("/kv-key")) {
            ObjectNode item = item(query.get("key"));
            Http.respond(exchange, item == null ? 404 : 200, item == null ? asOf() : item);
        } else if (path.equals("/kv-range")) {
            String after = query.getOrDefault("after", "");
            Http.respond(exchange, 200, range(query.get("path_prefix"), after));
        } else if (path.equals("/kv-watch")) {
            long after = Long.parseLong(query.get("after"));
            long waitMs = Long.parseLong(query.getOrDefault("wait_ms", "0"));
            Http.respond(exchange, 200, watch(query.get("path_prefix"), after, waitMs));
        } else if (path.equals("/kv-txn")) {
            ObjectNode answer = Http.JSON.createObjectNode();
            Http.respond(exchange, transact(body, answer), answer);
        } else if (path.equals("/kv-lease")) {
            Http.respond(exchange, 200, grant(body.path("ttl_ms").asLong()));
        } else if (path.startsWith("/kv-keep/")) {
            ObjectNode answer = keep(Long.parseLong(path.substring("/kv-keep/".length())));
            Http.respond(exchange, answer == null ? 404 : 200, answer == null ? asOf() : answer);
        } else if (path.startsWith("/kv-lease-end/")) {
            boolean ended = end(Long.parseLong(path.substring("/kv-lease-end/".length())));
            Http.respond(exchange, ended ? 200 : 404, asOf());
        } else {
            Http.respond(exchange, 404, asOf());
        }
    }

    private synchronized ObjectNode asOf() {
        return Http.JSON.createObjectNode().put("as_of", mRevision);
    }

    private synchronized ObjectNode item(String key) {
        Item item = mItems.get(key);
        return item == null ? null : toJson(key, item).put("as_of", mRevision);
    }

    private static ObjectNode toJson(String key, Item item) {
        return Http.JSON
                .createObjectNode()
                .put("key", key)
                .put("value", item.mValue)
                .put("revision", item.mRevision)
                .put("created", item.mCreated)
                .put("lease", item.mLease);
    }

    private synchronized ObjectNode range(String prefix, String after) {
        ObjectNode answer = asOf();
        ArrayNode items = answer.putArray("items");
        boolean more = false;
        int bytes = 0;
        for (Map.Entry<String, Item> entry : mItems.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) <= 0) {
                continue;
            }
            bytes += entry.getValue().mValue.length();
            if (items.size() == PAGE_ITEMS || (items.size() > 0 && bytes > PAGE_BYTES)) {
                more = true;
                break;
            }
            items.add(toJson(entry.getKey(), entry.getValue()));
        }
        return answer.put("has_more", more);
    }

    private synchronized ObjectNode watch(String prefix, long after, long waitMs) {
        long untilMs = System.nanoTime() / 1_000_000 + waitMs;
        while (true) {
            ObjectNode answer = asOf();
            ArrayNode events = answer.putArray("events");
            for (int i = firstAfter(after); i < mHistory.size(); i++) {
                if (mHistory.get(i).key.startsWith(prefix)) {
                    events.add(mHistory.get(i).json);
                }
            }
            long leftMs = untilMs - System.nanoTime() / 1_000_000;
            if (events.size() > 0 || leftMs <= 0) {
                return answer;
            }
            try {
                wait(leftMs);
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
    }

    private int firstAfter(long revision) {
        int i = mHistory.size();
        while (i > 0 && mHistory.get(i - 1).revision > revision) {
            i--;
        }
        return i;
    }

    private synchronized int transact(JsonNode body, ObjectNode answer) {
        if (body.path("expect").size() + body.path("writes").size() + body.path("remove").size()
                > MAX_TXN_ROWS) {
            answer.put("error", "too many rows");
            return 400;
        }
        boolean holds = true;
        for (JsonNode row : body.path("expect")) {
            Item item = mItems.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.mRevision) == row.path("revision").asLong();
        }
        if (!holds) {
            ArrayNode items = answer.putArray("items");
            for (JsonNode row : body.path("expect")) {
                Item item = mItems.get(row.path("key").asText());
                if (item == null) {
                    items.addNull();
                } else {
                    items.add(toJson(row.path("key").asText(), item));
                }
            }
            return 412;
        }
        for (JsonNode write : body.path("writes")) {
            String key = write.path("key").asText();
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return 403;
            }
            if (Base64.getDecoder().decode(write.path("value").asText()).length > VALUE_BYTES) {
                answer.put("error", "value too large");
                return 400;
            }
            long lease = write.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return 404;
            }
        }
        mRevision++;
        for (JsonNode write : body.path("writes")) {
            put(
                    write.path("key").asText(),
                    write.path("value").asText(),
                    write.path("lease").asLong());
        }
        for (JsonNode key : body.path("remove")) {
            delete(key.asText());
        }
        answer.put("revision", mRevision);
        notifyAll();
        return 200;
    }

    private void put(String key, String value, long lease) {
        Item item = mItems.computeIfAbsent(key, k -> new Item());
        item.mValue = value;
        item.mRevision = mRevision;
        item.mCreated = item.mCreated == 0 ? mRevision : item.mCreated;
        item.mLease = lease;
        mHistory.add(new Event(key, mRevision, toJson(key, item)));
    }

    private void delete(String key) {
        if (mItems.remove(key) != null) {
            ObjectNode event = Http.JSON.createObjectNode();
            event.put("key", key).put("revision", mRevision).put("deleted", true);
            mHistory.add(new Event(key, mRevision, event));
        }
    }

    private synchronized ObjectNode grant(long ttlMs) {
        Lease lease = new Lease();
        lease.mTtlMs = Math.max(1_000, ttlMs);
        lease.mEndsAtMs = System.nanoTime() / 1_000_000 + lease.mTtlMs;
        mLeases.put(++mLastLease, lease);
        return Http.JSON.createObjectNode().put("lease", mLastLease).put("ttl_ms", lease.mTtlMs);
    }

    private synchronized ObjectNode keep(long id) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return null;
        }
        lease.mEndsAtMs = System.nanoTime() / 1_000_000 + lease.mTtlMs;
        return Http.JSON.createObjectNode().put("ttl_ms", lease.mTtlMs);
    }

    private synchronized boolean end(long id) {
        if (mLeases.remove(id) == null) {
            return false;
        }
        mRevision++;
        List<String> keys = new ArrayList<>();
        mItems.forEach(
                (key, item) -> {
                    if (item.mLease == id) {
                        keys.add(key);
                    }
                });
        keys.forEach(this::delete);
        notifyAll();
        return true;
    }

    private synchronized void endLeases() {
        long nowMs = System.nanoTime() / 1_000_000;
        List<Long> ended = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.mEndsAtMs <= nowMs) {
                        ended.add(id);
                    }
                });
        ended.forEach(this::end);
    }
}
