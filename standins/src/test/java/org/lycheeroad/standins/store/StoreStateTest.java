package org.lycheeroad.standins.store;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

/** Tests the etcd semantics that the daemon relies on: transactions, revisions and leases. */
class StoreStateTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String KEY = "Zm9v";

    private final StoreState mState = new StoreState();

    @Test
    void createTransactionSucceedsOnce() throws Exception {
        assertThat(createKey("YQ==").path("succeeded").asBoolean()).isTrue();
        JsonNode second = createKey("Yg==");
        assertThat(second.has("succeeded")).isFalse();
        JsonNode kv = second.at("/responses/0/response_range/kvs/0");
        assertThat(kv.path("value").asText()).isEqualTo("YQ==");
        assertThat(kv.path("version").asText()).isEqualTo("1");
    }

    @Test
    void modRevisionCompareMatchesOnlyTheLastWrite() throws Exception {
        createKey("YQ==");
        long revision = mState.revision();
        put("Yg==", 0);
        assertThat(compareAndSwap(revision).has("succeeded")).isFalse();
        assertThat(compareAndSwap(mState.revision()).path("succeeded").asBoolean()).isTrue();
    }

    @Test
    void leaseExpiryDeletesKeysAndRecordsTheDeletion() throws Exception {
        long leaseId = mState.grantLease(json("{'TTL':2}"), 0).path("ID").asLong();
        put("YQ==", leaseId);
        long revisionBefore = mState.revision();
        mState.expireLeases(1_999_999_999L);
        assertThat(countKeys()).isEqualTo("1");
        mState.keepLeaseAlive(json("{'ID':'" + leaseId + "'}"), 1_000_000_000L);
        mState.expireLeases(2_500_000_000L);
        assertThat(countKeys()).isEqualTo("1");
        mState.expireLeases(3_000_000_000L);
        assertThat(countKeys()).isEmpty();
        assertThat(mState.changesFrom(revisionBefore + 1, "foo", ""))
                .singleElement()
                .matches(StoreState.Change::deleted);
        assertThat(
                        mState.keepLeaseAlive(json("{'ID':'" + leaseId + "'}"), 0)
                                .at("/result")
                                .has("TTL"))
                .isFalse();
    }

    @Test
    void rejectedTransactionChangesNothing() {
        String put = "{'request_put':{'key':'" + KEY + "','value':'YQ=='}}";
        assertThatThrownBy(() -> mState.txn(json("{'success':[" + put + "," + put + "]}")))
                .hasMessageContaining("duplicate key");
        assertThatThrownBy(() -> put("YQ==", 42)).hasMessageContaining("lease not found");
        assertThat(mState.revision()).isEqualTo(1);
    }

    private JsonNode createKey(String value) throws Exception {
        return mState.txn(
                json(
                        "{'compare':[{'target':'CREATE','key':'"
                                + KEY
                                + "'}],'success':[{'request_put':{'key':'"
                                + KEY
                                + "','value':'"
                                + value
                                + "'}}],'failure':[{'request_range':{'key':'"
                                + KEY
                                + "'}}]}"));
    }

    private JsonNode compareAndSwap(long revision) throws Exception {
        return mState.txn(
                json(
                        "{'compare':[{'target':'MOD','result':'EQUAL','key':'"
                                + KEY
                                + "','mod_revision':'"
                                + revision
                                + "'}],'success':[{'request_put':{'key':'"
                                + KEY
                                + "','value':'Yw=='}}]}"));
    }

    private void put(String value, long leaseId) throws Exception {
        mState.put(json("{'key':'" + KEY + "','value':'" + value + "','lease':'" + leaseId + "'}"));
    }

    private String countKeys() throws Exception {
        return mState.range(json("{'key':'Zg==','range_end':'Zw=='}")).path("count").asText();
    }

    private static JsonNode json(String text) throws Exception {
        return MAPPER.readTree(text.replace('\'', '"'));
    }
}
