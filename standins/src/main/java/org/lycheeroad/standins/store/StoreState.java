package org.lycheeroad.standins.store;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Set;
import java.util.TreeMap;

/** Keys, leases and revisions with the semantics of etcd. Not thread-safe. */
final class StoreState {
    /** The default of etcd's flag {@code --max-txn-ops}. */
    private static final int MAX_TXN_OPS = 128;

    /** The platform's store accepts values of up to 1 MB. */
    private static final int MAX_VALUE_BYTES = 1 << 20;

    private static final int MAX_HISTORY_SIZE = 20_000;
    private static final JsonNodeFactory NODES = JsonNodeFactory.instance;

    private final Deque<Change> mHistory = new ArrayDeque<>();
    private final Map<Long, Lease> mLeases = new HashMap<>();
    private NavigableMap<String, KeyValue> mKeys = new TreeMap<>();
    private long mRevision = 1;
    private long mCompactRevision;
    private long mNextLeaseId = 7_000_000_001L;

    /** A stored key. Keys are byte strings, held with one character per byte. */
    record KeyValue(
            String key,
            String base64Value,
            long createRevision,
            long modRevision,
            long version,
            long leaseId) {
        ObjectNode toJson() {
            ObjectNode node = NODES.objectNode().put("key", encode(key));
            putInt64(node, "create_revision", createRevision);
            putInt64(node, "mod_revision", modRevision);
            putInt64(node, "version", version);
            if (!base64Value.isEmpty()) {
                node.put("value", base64Value);
            }
            putInt64(node, "lease", leaseId);
            return node;
        }
    }

    /** A change of a key at a revision. A deletion carries only the key and its revision. */
    record Change(long revision, KeyValue kv, boolean deleted) {
        ObjectNode toJson() {
            ObjectNode node = NODES.objectNode();
            if (deleted) {
                node.put("type", "DELETE");
            }
            node.set("kv", kv.toJson());
            return node;
        }
    }

    private static final class Lease {
        private final long mTtlSeconds;
        private long mExpiryNanos;

        Lease(long ttlSeconds, long expiryNanos) {
            mTtlSeconds = ttlSeconds;
            mExpiryNanos = expiryNanos;
        }
    }

    long revision() {
        return mRevision;
    }

    long compactRevision() {
        return mCompactRevision;
    }

    /**
     * Returns a copy of the keys and the revision, for stale reads; later changes do not affect it.
     */
    StoreState snapshot() {
        StoreState copy = new StoreState();
        copy.mKeys = new TreeMap<>(mKeys);
        copy.mRevision = mRevision;
        return copy;
    }

    ObjectNode header() {
        ObjectNode node = NODES.objectNode().put("cluster_id", "1").put("member_id", "1");
        putInt64(node, "revision", mRevision);
        return node.put("raft_term", "2");
    }

    ObjectNode range(JsonNode request) throws EtcdException {
        String key = decode(request.path("key").asText());
        List<KeyValue> matches = findRange(key, decode(request.path("range_end").asText()));
        long limit = request.path("limit").asLong();
        ObjectNode response = NODES.objectNode();
        response.set("header", header());
        ArrayNode kvs = NODES.arrayNode();
        for (KeyValue kv : matches) {
            if (limit > 0 && kvs.size() >= limit) {
                response.put("more", true);
                break;
            }
            kvs.add(kv.toJson());
        }
        if (!kvs.isEmpty() && !request.path("count_only").asBoolean()) {
            response.set("kvs", kvs);
        }
        putInt64(response, "count", matches.size());
        return response;
    }

    ObjectNode put(JsonNode request) throws EtcdException {
        checkPut(request);
        mRevision++;
        return applyPut(request);
    }

    ObjectNode deleteRange(JsonNode request) throws EtcdException {
        String key = decode(request.path("key").asText());
        List<KeyValue> matches = findRange(key, decode(request.path("range_end").asText()));
        if (!matches.isEmpty()) {
            mRevision++;
        }
        return applyDelete(matches);
    }

    ObjectNode txn(JsonNode request) throws EtcdException {
        boolean succeeded = true;
        for (JsonNode compare : request.path("compare")) {
            succeeded &= isSatisfied(compare);
        }
        checkOps(request.path("success"));
        checkOps(request.path("failure"));
        JsonNode ops = request.path(succeeded ? "success" : "failure");
        if (hasWrites(ops)) {
            mRevision++;
        }
        ArrayNode responses = NODES.arrayNode();
        for (JsonNode op : ops) {
            responses.add(applyOp(op));
        }
        ObjectNode response = NODES.objectNode();
        response.set("header", header());
        if (succeeded) {
            response.put("succeeded", true);
        }
        if (!responses.isEmpty()) {
            response.set("responses", responses);
        }
        return response;
    }

    ObjectNode grantLease(JsonNode request, long nowNanos) throws EtcdException {
        long ttl = request.path("TTL").asLong();
        if (ttl < 1) {
            throw new EtcdException(400, 3, "etcdserver: too small lease TTL");
        }
        long id = request.path("ID").asLong();
        if (id == 0) {
            id = mNextLeaseId++;
        } else if (mLeases.containsKey(id)) {
            throw new EtcdException(400, 9, "etcdserver: lease already exists");
        }
        mLeases.put(id, new Lease(ttl, nowNanos + ttl * 1_000_000_000L));
        ObjectNode response = NODES.objectNode();
        response.set("header", header());
        return response.put("ID", Long.toString(id)).put("TTL", Long.toString(ttl));
    }

    ObjectNode keepLeaseAlive(JsonNode request, long nowNanos) {
        long id = request.path("ID").asLong();
        Lease lease = mLeases.get(id);
        ObjectNode result = NODES.objectNode();
        result.set("header", header());
        result.put("ID", Long.toString(id));
        if (lease != null) {
            lease.mExpiryNanos = nowNanos + lease.mTtlSeconds * 1_000_000_000L;
            putInt64(result, "TTL", lease.mTtlSeconds);
        }
        ObjectNode response = NODES.objectNode();
        response.set("result", result);
        return response;
    }

    ObjectNode revokeLease(JsonNode request) throws EtcdException {
        long id = request.path("ID").asLong();
        if (mLeases.remove(id) == null) {
            throw leaseNotFound();
        }
        deleteKeysOfLease(id);
        ObjectNode response = NODES.objectNode();
        response.set("header", header());
        return response;
    }

    /** Removes expired leases and deletes their keys. */
    void expireLeases(long nowNanos) {
        List<Long> expiredIds = new ArrayList<>();
        mLeases.forEach(
                (id, lease) -> {
                    if (nowNanos - lease.mExpiryNanos >= 0) {
                        expiredIds.add(id);
                    }
                });
        for (long id : expiredIds) {
            mLeases.remove(id);
            deleteKeysOfLease(id);
        }
    }

    /** Returns the changes in a key range since a revision (inclusive), in order. */
    List<Change> changesFrom(long revision, String key, String rangeEnd) {
        List<Change> changes = new ArrayList<>();
        for (Change change : mHistory) {
            if (change.revision() >= revision && isInRange(key, rangeEnd, change.kv().key())) {
                changes.add(change);
            }
        }
        return changes;
    }

    static String decode(String base64) throws EtcdException {
        try {
            return new String(Base64.getDecoder().decode(base64), StandardCharsets.ISO_8859_1);
        } catch (IllegalArgumentException e) {
            throw new EtcdException(400, 3, "illegal base64 data: " + e.getMessage());
        }
    }

    static void putInt64(ObjectNode node, String name, long value) {
        if (value != 0) {
            node.put(name, Long.toString(value));
        }
    }

    private static String encode(String key) {
        return Base64.getEncoder().encodeToString(key.getBytes(StandardCharsets.ISO_8859_1));
    }

    private static boolean isInRange(String key, String rangeEnd, String candidate) {
        if (rangeEnd.isEmpty()) {
            return candidate.equals(key);
        }
        return candidate.compareTo(key) >= 0
                && (rangeEnd.equals("\0") || candidate.compareTo(rangeEnd) < 0);
    }

    private static boolean hasWrites(JsonNode ops) {
        for (JsonNode op : ops) {
            if (op.has("request_put") || op.has("request_delete_range")) {
                return true;
            }
        }
        return false;
    }

    private static EtcdException leaseNotFound() {
        return new EtcdException(404, 5, "etcdserver: requested lease not found");
    }

    private List<KeyValue> findRange(String key, String rangeEnd) {
        if (rangeEnd.isEmpty()) {
            KeyValue kv = mKeys.get(key);
            return kv == null ? List.of() : List.of(kv);
        }
        NavigableMap<String, KeyValue> tail = mKeys.tailMap(key, true);
        if (rangeEnd.equals("\0")) {
            return List.copyOf(tail.values());
        }
        return rangeEnd.compareTo(key) <= 0
                ? List.of()
                : List.copyOf(tail.headMap(rangeEnd, false).values());
    }

    private void checkOps(JsonNode ops) throws EtcdException {
        if (ops.size() > MAX_TXN_OPS) {
            throw new EtcdException(400, 3, "etcdserver: too many operations in txn request");
        }
        Set<String> keys = new HashSet<>();
        for (JsonNode op : ops) {
            if (op.has("request_put")) {
                checkPut(op.get("request_put"));
                if (!keys.add(op.get("request_put").path("key").asText())) {
                    throw new EtcdException(
                            400, 3, "etcdserver: duplicate key given in txn request");
                }
            }
        }
    }

    private void checkPut(JsonNode request) throws EtcdException {
        if (decode(request.path("key").asText()).isEmpty()) {
            throw new EtcdException(400, 3, "etcdserver: key is not provided");
        }
        if (decode(request.path("value").asText()).length() > MAX_VALUE_BYTES) {
            throw new EtcdException(400, 3, "etcdserver: request is too large");
        }
        long lease = request.path("lease").asLong();
        if (lease != 0 && !mLeases.containsKey(lease)) {
            throw leaseNotFound();
        }
    }

    private boolean isSatisfied(JsonNode compare) throws EtcdException {
        KeyValue kv = mKeys.get(decode(compare.path("key").asText()));
        String target = compare.path("target").asText("VERSION");
        int comparison =
                switch (target.isEmpty() ? "VERSION" : target) {
                    case "VERSION", "0" ->
                            Long.compare(
                                    kv == null ? 0 : kv.version(),
                                    compare.path("version").asLong());
                    case "CREATE", "1" ->
                            Long.compare(
                                    kv == null ? 0 : kv.createRevision(),
                                    compare.path("create_revision").asLong());
                    case "MOD", "2" ->
                            Long.compare(
                                    kv == null ? 0 : kv.modRevision(),
                                    compare.path("mod_revision").asLong());
                    case "VALUE", "3" -> {
                        if (kv == null) {
                            // In etcd, a value comparison never succeeds for a missing key.
                            yield Integer.MIN_VALUE;
                        }
                        yield Arrays.compareUnsigned(
                                Base64.getDecoder().decode(kv.base64Value()),
                                Base64.getDecoder().decode(compare.path("value").asText()));
                    }
                    default -> throw new EtcdException(400, 3, "unknown compare target " + target);
                };
        if (comparison == Integer.MIN_VALUE) {
            return false;
        }
        String result = compare.path("result").asText();
        return switch (result) {
            case "", "EQUAL", "0" -> comparison == 0;
            case "GREATER", "1" -> comparison > 0;
            case "LESS", "2" -> comparison < 0;
            case "NOT_EQUAL", "3" -> comparison != 0;
            default -> throw new EtcdException(400, 3, "unknown compare result " + result);
        };
    }

    private ObjectNode applyOp(JsonNode op) throws EtcdException {
        ObjectNode response = NODES.objectNode();
        if (op.has("request_put")) {
            response.set("response_put", applyPut(op.get("request_put")));
        } else if (op.has("request_range")) {
            response.set("response_range", range(op.get("request_range")));
        } else if (op.has("request_delete_range")) {
            JsonNode request = op.get("request_delete_range");
            String key = decode(request.path("key").asText());
            String end = decode(request.path("range_end").asText());
            response.set("response_delete_range", applyDelete(findRange(key, end)));
        } else {
            throw new EtcdException(400, 3, "unknown operation in txn request");
        }
        return response;
    }

    private ObjectNode applyPut(JsonNode request) throws EtcdException {
        String key = decode(request.path("key").asText());
        KeyValue previous = mKeys.get(key);
        KeyValue kv =
                new KeyValue(
                        key,
                        request.path("value").asText(),
                        previous == null ? mRevision : previous.createRevision(),
                        mRevision,
                        previous == null ? 1 : previous.version() + 1,
                        request.path("lease").asLong());
        mKeys.put(key, kv);
        appendHistory(new Change(mRevision, kv, false));
        ObjectNode response = NODES.objectNode();
        response.set("header", header());
        return response;
    }

    private ObjectNode applyDelete(List<KeyValue> matches) {
        for (KeyValue kv : matches) {
            mKeys.remove(kv.key());
            appendHistory(
                    new Change(mRevision, new KeyValue(kv.key(), "", 0, mRevision, 0, 0), true));
        }
        ObjectNode response = NODES.objectNode();
        response.set("header", header());
        putInt64(response, "deleted", matches.size());
        return response;
    }

    private void deleteKeysOfLease(long lease) {
        List<KeyValue> keyValues =
                mKeys.values().stream().filter(k -> k.leaseId() == lease).toList();
        if (!keyValues.isEmpty()) {
            mRevision++;
            applyDelete(keyValues);
        }
    }

    private void appendHistory(Change change) {
        mHistory.addLast(change);
        if (mHistory.size() > MAX_HISTORY_SIZE) {
            mCompactRevision = mHistory.removeFirst().revision();
        }
    }
}
