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

/**
 * The keys, leases and change history of the stand-in store. Not thread-safe: {@link StoreServer}
 * synchronizes all access.
 */
final class KeyValueState {
    private static final int MAX_COMMIT_ROWS = 32;
    private static final int PAGE_SIZE = 500;

    /** The stored value of a key, Base64-encoded; lease id 0 means that no lease is attached. */
    private record StoredValue(String value, long revision, long createRevision, long leaseId) {}

    /** A change of a key; the new value is null if the key was removed. */
    private record Change(String key, long revision, StoredValue newValue) {}

    /** A lease with its duration and expiry time. */
    private static final class Lease {
        private final long mTtlMs;
        private long mExpiresAtMs;

        Lease(long ttlMs, long expiresAtMs) {
            mTtlMs = ttlMs;
            mExpiresAtMs = expiresAtMs;
        }
    }

    /** HTTP status and body of a response. */
    record Response(int status, ObjectNode body) {}

    private final ObjectMapper mMapper = new ObjectMapper();
    private final TreeMap<String, StoredValue> mValues = new TreeMap<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private final List<Change> mHistory = new ArrayList<>();
    private long mRevision = 1;
    private long mNextLeaseId = 100;
    private long mCompactRevision;

    long revision() {
        return mRevision;
    }

    List<String> keys(String prefix) {
        return mValues.keySet().stream().filter(key -> key.startsWith(prefix)).toList();
    }

    /** Returns the Base64-encoded value of a key, or an empty string if it does not exist. */
    String value(String key) {
        StoredValue stored = mValues.get(key);
        return stored == null ? "" : stored.value;
    }

    Response read(String key) {
        StoredValue stored = mValues.get(key);
        return stored == null
                ? emptyResponse(404)
                : new Response(200, rowJson(key, stored).put("as_of", mRevision));
    }

    Response list(String prefix, String after) {
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode items = body.putArray("items");
        boolean hasMore = false;
        for (Map.Entry<String, StoredValue> entry : mValues.tailMap(prefix).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) {
                break;
            }
            if (entry.getKey().compareTo(after) > 0) {
                if (items.size() == PAGE_SIZE) {
                    hasMore = true;
                    break;
                }
                items.add(rowJson(entry.getKey(), entry.getValue()));
            }
        }
        body.put("has_more", hasMore).put("as_of", mRevision);
        return new Response(200, body);
    }

    /**
     * Returns the changes after a revision: status 410 if they have been compacted, null if there
     * are none.
     */
    Response changesAfter(String prefix, long after) {
        if (after < mCompactRevision) {
            return emptyResponse(410);
        }
        ObjectNode body = mMapper.createObjectNode();
        ArrayNode events = body.putArray("events");
        for (Change change : mHistory) {
            if (change.revision > after && change.key.startsWith(prefix)) {
                events.add(
                        change.newValue == null
                                ? mMapper.createObjectNode()
                                        .put("key", change.key)
                                        .put("revision", change.revision)
                                        .put("deleted", true)
                                : rowJson(change.key, change.newValue));
            }
        }
        body.put("as_of", mRevision);
        return events.isEmpty() ? null : new Response(200, body);
    }

    Response emptyChanges() {
        ObjectNode body = mMapper.createObjectNode();
        body.putArray("events");
        body.put("as_of", mRevision);
        return new Response(200, body);
    }

    Response commit(JsonNode request) {
        JsonNode expect = request.path("expect");
        JsonNode writes = request.path("writes");
        JsonNode remove = request.path("remove");
        if (expect.size() + writes.size() + remove.size() > MAX_COMMIT_ROWS) {
            return emptyResponse(400);
        }
        boolean expectationsMet = true;
        for (JsonNode row : expect) {
            StoredValue stored = mValues.get(row.path("key").asText());
            expectationsMet &=
                    (stored == null ? 0 : stored.revision) == row.path("revision").asLong();
        }
        if (!expectationsMet) {
            ObjectNode body = mMapper.createObjectNode();
            ArrayNode items = body.putArray("items");
            for (JsonNode row : expect) {
                StoredValue stored = mValues.get(row.path("key").asText());
                if (stored != null) {
                    items.add(rowJson(row.path("key").asText(), stored));
                }
            }
            return new Response(412, body);
        }
        for (JsonNode row : writes) {
            long lease = row.path("lease").asLong();
            if (lease != 0 && !mLeases.containsKey(lease)) {
                return emptyResponse(404);
            }
        }
        mRevision++;
        for (JsonNode row : writes) {
            put(row.path("key").asText(), row.path("value").asText(), row.path("lease").asLong());
        }
        remove.forEach(key -> delete(key.asText()));
        return new Response(200, mMapper.createObjectNode().put("revision", mRevision));
    }

    /**
     * Writes a key without a lease or an expected revision, as the operator or an executor does.
     */
    void write(String key, String base64) {
        mRevision++;
        put(key, base64, 0);
    }

    /** Removes a key unconditionally, as the platform does. */
    void remove(String key) {
        mRevision++;
        delete(key);
    }

    Response grantLease(long ttlMs, long nowMs) {
        long id = mNextLeaseId++;
        mLeases.put(id, new Lease(ttlMs, nowMs + ttlMs));
        return new Response(200, mMapper.createObjectNode().put("lease", id).put("ttl_ms", ttlMs));
    }

    Response renewLease(long id, long nowMs) {
        Lease lease = mLeases.get(id);
        if (lease == null) {
            return emptyResponse(404);
        }
        lease.mExpiresAtMs = nowMs + lease.mTtlMs;
        return new Response(200, mMapper.createObjectNode().put("ttl_ms", lease.mTtlMs));
    }

    Response endLease(long id) {
        if (mLeases.remove(id) == null) {
            return emptyResponse(404);
        }
        deleteKeysOfLease(id);
        return emptyResponse(200);
    }

    /** Removes expired leases and deletes their keys. */
    void expireLeases(long nowMs) {
        List<Long> expiredIds = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (lease.mExpiresAtMs <= nowMs) {
                        expiredIds.add(id);
                    }
                });
        for (long id : expiredIds) {
            mLeases.remove(id);
            deleteKeysOfLease(id);
        }
    }

    /** Discards the change history. */
    void compact() {
        mHistory.clear();
        mCompactRevision = mRevision;
    }

    private void deleteKeysOfLease(long lease) {
        List<String> keys = new ArrayList<>();
        mValues.forEach(
                (key, stored) -> {
                    if (stored.leaseId == lease) {
                        keys.add(key);
                    }
                });
        if (!keys.isEmpty()) {
            mRevision++;
            keys.forEach(this::delete);
        }
    }

    private void put(String key, String value, long lease) {
        StoredValue old = mValues.get(key);
        long created = old == null ? mRevision : old.createRevision;
        StoredValue stored = new StoredValue(value, mRevision, created, lease);
        mValues.put(key, stored);
        mHistory.add(new Change(key, mRevision, stored));
    }

    private void delete(String key) {
        if (mValues.remove(key) != null) {
            mHistory.add(new Change(key, mRevision, null));
        }
    }

    private ObjectNode rowJson(String key, StoredValue stored) {
        return mMapper.createObjectNode()
                .put("key", key)
                .put("value", stored.value)
                .put("revision", stored.revision)
                .put("created", stored.createRevision)
                .put("lease", stored.leaseId);
    }

    private Response emptyResponse(int status) {
        return new Response(status, mMapper.createObjectNode());
    }
}
