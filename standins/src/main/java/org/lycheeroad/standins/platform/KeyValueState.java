package org.lycheeroad.standins.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The keys, leases and history of the stand-in store; callers hold its monitor. */
final class KeyValueState {
    private static final int MAX_ROWS = 32;
    private static final int PAGE = 500;

    /** One key. */
    private record Item(String value, long revision, long created, long lease) {}

    /** One change; the item is null for a removal. */
    private record Change(String key, long revision, Item item) {}

    /** One lease and when it ends. */
    private static final class Lease {
        private final long mTtlMs;
        private long mEndsAt;

        Lease(long ttlMs, long endsAt) {
            mTtlMs = ttlMs;
            mEndsAt = endsAt;
        }
    }

    /** An answer to a call. */
    record Answer(int status, ObjectNode body) {}

    private final ObjectMapper mMapper = new ObjectMapper();
    private final TreeMap<String, Item> mItems = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private long mRevision = 1;
    private long mNextLease = 100;
    private long mCompacted;

    long revision() {
        return mRevision;
    }

    List<String> keys(String prefix) {
        return mItems.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    Answer read(String key) {
        Item item = mItems.get(key);
        return item == null ? status(404) : new Answer(200, row(key, item).put("as_of", mRevision));
    }

    Answer list(String prefix, String after) {
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode items = body.putArray("items");
        boolean more = false;
        for (Map.Entry<String, Item> entry : mItems.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                if (items.size() == PAGE) {
                    more = true;
                    break;
                }
                items.add(row(entry.getKey(), entry.getValue()));
            }
        }
        body.put("has_more", more).put("as_of", mRevision);
        return new Answer(200, body);
    }

    /** Returns the changes behind a revision, 410 if they are gone, null if there are none. */
    Answer changes(String prefix, long after) {
        if (after < mCompacted) {
            return status(410);
        }
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode events = body.putArray("events");
        for (Change change : mHistory) {
            if (change.revision > after && change.key.startsWith(prefix)) {
                events.add(
                        change.item == null
                                ? mMapper.createObjectNode()
                                        .put("key", change.key)
                                        .put("revision", change.revision)
                                        .put("deleted", true)
                                : row(change.key, change.item));
            }
        }
        body.put("as_of", mRevision);
        return events.isEmpty() ? null : new Answer(200, body);
    }

    Answer noChanges() {
        ObjectNode body = mMapper.createObjectNode();
        body.putArray("events");
        body.put("as_of", mRevision);
        return new Answer(200, body);
    }

    Answer commit(JsonNode request) {
        JsonNode expect = request.path("expect");
        JsonNode writes = request.path("writes");
        JsonNode remove = request.path("remove");
        if (expect.size() + writes.size() + remove.size() > MAX_ROWS) {
            return status(400);
        }
        boolean holds = true;
        for (JsonNode row : expect) {
            Item item = mItems.get(row.path("key").asText());
            holds &= (item == null ? 0 : item.revision) == row.path("revision").asLong();
        }
        if (!holds) {
            ObjectNode body = mMapper.createObjectNode();
            ArrayNode items = body.putArray("items");
            for (JsonNode row : expect) {
                Item item = mItems.get(row.path("key").asText());
                if (item != null) {
                    items.add(row(row.path("key").asText(), item));
                }
            }
            return new Answer(412, body);
        }
        for (JsonNode row : writes) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return status(404);
            }
        }
        mRevision++;
        for (JsonNode row : writes) {
            put(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
        }
        remove.forEach(key -> delete(key.asText()));
        return new Answer(200, mMapper.createObjectNode().put("revision", mRevision));
    }

    /** Writes a key as the operator or a worker does. */
    void write(String key, String base64) {
        mRevision++;
        put(key, base64, 0);
    }

    /** Removes a key as the platform does. */
    void remove(String key) {
        mRevision++;
        delete(key);
    }

    Answer grant(long ttlMs, long now) {
        long id = mNextLease++;
        mLeases.put(id, new Lease(ttlMs, now + ttlMs));
        return new Answer(200, mMapper.createObjectNode().put("lease", id).put("ttl_ms", ttlMs));
    }

    Answer renew(long id, long now) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return status(404);
        }
        lease.mEndsAt = now + lease.mTtlMs;
        return new Answer(200, mMapper.createObjectNode().put("ttl_ms", lease.mTtlMs));
    }

    Answer end(long id) {
        if (mLeases.remove(id) == null) {
            return status(404);
        }
        dropKeysOf(id);
        return status(200);
    }

    /** Ends the leases whose time is over. */
    void expire(long now) {
        List<Long> over = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.mEndsAt <= now) {
                        over.add(id);
                    }
                });
        for (long id : over) {
            mLeases.remove(id);
            dropKeysOf(id);
        }
    }

    /** Forgets the history. */
    void compact() {
        mHistory.clear();
        mCompacted = mRevision;
    }

    private void dropKeysOf(long lease) {
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

    private void put(String key, String value, long lease) {
        Item old = mItems.get(key);
        long created = old == null ? mRevision : old.created;
        Item item = new Item(value, mRevision, created, lease);
        mItems.put(key, item);
        mHistory.add(new Change(key, mRevision, item));
    }

    private void delete(String key) {
        if (mItems.remove(key) != null) {
            mHistory.add(new Change(key, mRevision, null));
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

    private Answer status(int status) {
        return new Answer(status, mMapper.createObjectNode());
    }
}
