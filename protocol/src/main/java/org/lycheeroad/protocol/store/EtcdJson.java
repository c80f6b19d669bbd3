package org.lycheeroad.protocol.store;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

/**
 * Serializes requests to and parses responses of the etcd v3 HTTP/JSON gateway.
 *
 * <p>The gateway writes 64-bit integers as strings and keys and values in base64, and omits fields
 * that have their default value.
 */
public final class EtcdJson {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private EtcdJson() {}

    /** Returns the exclusive end of the range of all keys that start with the prefix. */
    public static String prefixEnd(String prefix) {
        int last = prefix.length() - 1;
        return prefix.substring(0, last) + (char) (prefix.charAt(last) + 1);
    }

    /** Returns the body of a {@code /v3/kv/range} request; an empty range end reads one key. */
    public static byte[] rangeRequest(String key, String rangeEnd) {
        return toBytes(newRangeNode(key, rangeEnd));
    }

    /** Returns the body of a {@code /v3/kv/txn} request. */
    public static byte[] txnRequest(StoreTxn txn) {
        ObjectNode node = MAPPER.createObjectNode();
        ArrayNode conditions = node.putArray("compare");
        for (StoreCompare condition : txn.conditions()) {
            ObjectNode conditionNode = conditions.addObject();
            conditionNode.put("key", toBase64(condition.key()));
            conditionNode.put("target", condition.target().name());
            conditionNode.put("result", "EQUAL");
            switch (condition.target()) {
                case VERSION ->
                        conditionNode.put("version", Long.toString(condition.expectedNumber()));
                case CREATE ->
                        conditionNode.put(
                                "create_revision", Long.toString(condition.expectedNumber()));
                case MOD ->
                        conditionNode.put(
                                "mod_revision", Long.toString(condition.expectedNumber()));
                case VALUE -> conditionNode.put("value", toBase64(condition.expectedValue()));
            }
        }
        addOps(node.putArray("success"), txn.onSuccess());
        addOps(node.putArray("failure"), txn.onFailure());
        return toBytes(node);
    }

    /** Returns the body of a {@code /v3/lease/grant} request. */
    public static byte[] leaseGrantRequest(long ttlSeconds) {
        return toBytes(MAPPER.createObjectNode().put("TTL", Long.toString(ttlSeconds)));
    }

    /** Returns the body of a {@code /v3/lease/keepalive} or {@code /v3/lease/revoke} request. */
    public static byte[] leaseRequest(long id) {
        return toBytes(MAPPER.createObjectNode().put("ID", Long.toString(id)));
    }

    /** Returns the body of a {@code /v3/watch} request for all keys with the prefix. */
    public static byte[] watchRequest(String prefix, long startRevision) {
        ObjectNode node = MAPPER.createObjectNode();
        ObjectNode createRequest = node.putObject("create_request");
        createRequest.put("key", toBase64(prefix));
        createRequest.put("range_end", toBase64(prefixEnd(prefix)));
        createRequest.put("start_revision", Long.toString(startRevision));
        createRequest.put("progress_notify", true);
        return toBytes(node);
    }

    /**
     * Parses the response to {@code /v3/kv/range}.
     *
     * @throws StoreFormatException if the text is not such a response
     */
    public static RangeResponse parseRangeResponse(String json) throws StoreFormatException {
        JsonNode node = parseObject(json);
        return new RangeResponse(parseRevision(node), parseKeyValues(node));
    }

    /**
     * Parses the response to {@code /v3/kv/txn}.
     *
     * @throws StoreFormatException if the text is not such a response
     */
    public static TxnResponse parseTxnResponse(String json) throws StoreFormatException {
        JsonNode node = parseObject(json);
        List<List<KeyValue>> readResults = new ArrayList<>();
        for (JsonNode response : node.path("responses")) {
            readResults.add(parseKeyValues(response.path("response_range")));
        }
        return new TxnResponse(
                node.path("succeeded").asBoolean(false), parseRevision(node), readResults);
    }

    /**
     * Parses the lease ID from the response to {@code /v3/lease/grant}.
     *
     * @throws StoreFormatException if the text is not such a response
     */
    public static long parseLeaseId(String json) throws StoreFormatException {
        long id = parseObject(json).path("ID").asLong(0);
        if (id == 0) {
            throw new StoreFormatException("response has no lease ID: " + json, null);
        }
        return id;
    }

    /**
     * Parses the remaining time to live from the response to {@code /v3/lease/keepalive}; 0 if the
     * lease has expired.
     *
     * @throws StoreFormatException if the text is not such a response
     */
    public static long parseKeepAliveTtlSeconds(String json) throws StoreFormatException {
        JsonNode node = parseObject(json.strip().lines().findFirst().orElse(""));
        return node.path("result").path("TTL").asLong(0);
    }

    /**
     * Parses one line of the response stream of {@code /v3/watch}.
     *
     * @throws StoreFormatException if the line is not such a response
     */
    public static WatchResponse parseWatchResponse(String line) throws StoreFormatException {
        JsonNode root = parseObject(line);
        if (!root.has("result")) {
            throw new StoreFormatException("watch failed: " + line, null);
        }
        JsonNode result = root.path("result");
        List<WatchEvent> events = new ArrayList<>();
        for (JsonNode event : result.path("events")) {
            boolean deleted = event.path("type").asText("PUT").equals("DELETE");
            events.add(new WatchEvent(deleted, parseKeyValue(event.path("kv"))));
        }
        return new WatchResponse(
                parseRevision(result),
                result.path("created").asBoolean(false),
                result.path("canceled").asBoolean(false),
                result.path("compact_revision").asLong(0),
                events);
    }

    private static void addOps(ArrayNode array, List<StoreOp> ops) {
        for (StoreOp op : ops) {
            ObjectNode node = array.addObject();
            if (op instanceof StoreOp.Put put) {
                ObjectNode putNode = node.putObject("request_put");
                putNode.put("key", toBase64(put.key())).put("value", toBase64(put.value()));
                if (put.leaseId() != 0) {
                    putNode.put("lease", Long.toString(put.leaseId()));
                }
            } else if (op instanceof StoreOp.Get get) {
                node.set("request_range", newRangeNode(get.key(), get.rangeEnd()));
            } else if (op instanceof StoreOp.Delete delete) {
                node.set("request_delete_range", newRangeNode(delete.key(), delete.rangeEnd()));
            }
        }
    }

    private static ObjectNode newRangeNode(String key, String rangeEnd) {
        ObjectNode node = MAPPER.createObjectNode().put("key", toBase64(key));
        if (!rangeEnd.isEmpty()) {
            node.put("range_end", toBase64(rangeEnd));
        }
        return node;
    }

    private static JsonNode parseObject(String json) throws StoreFormatException {
        try {
            JsonNode node = MAPPER.readTree(json);
            if (node == null || !node.isObject()) {
                throw new StoreFormatException("response is not a JSON object: " + json, null);
            }
            return node;
        } catch (JsonProcessingException e) {
            throw new StoreFormatException("response is not JSON: " + json, e);
        }
    }

    private static List<KeyValue> parseKeyValues(JsonNode range) throws StoreFormatException {
        List<KeyValue> keyValues = new ArrayList<>();
        for (JsonNode keyValue : range.path("kvs")) {
            keyValues.add(parseKeyValue(keyValue));
        }
        return keyValues;
    }

    private static KeyValue parseKeyValue(JsonNode node) throws StoreFormatException {
        return new KeyValue(
                fromBase64(node.path("key").asText("")),
                fromBase64(node.path("value").asText("")),
                node.path("create_revision").asLong(0),
                node.path("mod_revision").asLong(0),
                node.path("version").asLong(0),
                node.path("lease").asLong(0));
    }

    private static long parseRevision(JsonNode node) {
        return node.path("header").path("revision").asLong(0);
    }

    private static String toBase64(String text) {
        return Base64.getEncoder().encodeToString(text.getBytes(StandardCharsets.UTF_8));
    }

    private static String fromBase64(String base64) throws StoreFormatException {
        try {
            return new String(Base64.getDecoder().decode(base64), StandardCharsets.UTF_8);
        } catch (IllegalArgumentException e) {
            throw new StoreFormatException("response has invalid base64: " + base64, e);
        }
    }

    private static byte[] toBytes(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialize a JSON tree", e);
        }
    }
}
