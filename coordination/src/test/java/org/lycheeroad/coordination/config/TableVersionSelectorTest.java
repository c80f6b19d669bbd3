package org.lycheeroad.coordination.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.EntryId;

/** Tests versions that arrive in any order from peers and from a store with stale responses. */
final class TableVersionSelectorTest {
    private static final EntryId PEER = new EntryId("e1");

    /**
     * Guards against an older version that replaces a newer one, and a newer one that is missed.
     */
    @Property(tries = 300, seed = "91")
    void activeVersionIsNewestReceived(@ForAll long seed) {
        Random random = new Random(seed);
        TableVersionSelector selector = new TableVersionSelector(0);
        long nowMillis = 0;
        long activeVersion = 0;
        long newestReceived = 0;
        for (int i = 0; i < 200; i++) {
            nowMillis += random.nextInt(2_000);
            long version = random.nextInt(50);
            boolean received = random.nextInt(3) == 0;
            TableEvent event =
                    received
                            ? new TableEvent.VersionReceived(version, "v" + version)
                            : random.nextBoolean()
                                    ? new TableEvent.PeerVersionReported(PEER, version)
                                    : new TableEvent.StoreSynced();
            newestReceived = received ? Math.max(newestReceived, version) : newestReceived;
            for (TableAction action : selector.handle(event, nowMillis)) {
                if (action instanceof TableAction.Apply apply) {
                    assertThat(apply.version()).isGreaterThan(activeVersion);
                    assertThat(apply.csv()).isEqualTo("v" + apply.version());
                    activeVersion = apply.version();
                }
            }
            assertThat(activeVersion).isEqualTo(newestReceived).isEqualTo(selector.version());
        }
    }

    @Nested
    final class Readiness {
        private final TableVersionSelector mSelector = new TableVersionSelector(0);

        /** Guards against an entry that is ready with an old table while a peer has a newer one. */
        @Test
        void waitsForNewerVersionOfPeer() {
            mSelector.handle(new TableEvent.VersionReceived(1, "a"), 10);
            mSelector.handle(new TableEvent.StoreSynced(), 20);
            assertThat(mSelector.isReady()).isTrue();
            assertThat(mSelector.handle(new TableEvent.PeerVersionReported(PEER, 2), 30))
                    .containsExactly(new TableAction.FetchFromPeer(PEER, 1));
            assertThat(mSelector.isReady()).isFalse();
            mSelector.handle(new TableEvent.VersionReceived(2, "b"), 40);
            assertThat(mSelector.isReady()).isTrue();
        }

        /**
         * Guards against an entry that waits for one unresponsive peer while others could answer.
         */
        @Test
        void fetchesFromNextPeerWhenOneDoesNotAnswer() {
            EntryId other = new EntryId("zz-other");
            EntryId older = new EntryId("older");
            mSelector.handle(new TableEvent.VersionReceived(1, "a"), 10);
            List<EntryId> fetchedFrom = new ArrayList<>();
            for (long nowMillis = 100; nowMillis < 2_100; nowMillis += 100) {
                for (TableEvent event :
                        List.of(
                                new TableEvent.PeerVersionReported(PEER, 3),
                                new TableEvent.PeerVersionReported(other, 3),
                                new TableEvent.PeerVersionReported(older, 1))) {
                    mSelector.handle(event, nowMillis).stream()
                            .map(action -> ((TableAction.FetchFromPeer) action).peer())
                            .forEach(fetchedFrom::add);
                }
            }
            assertThat(fetchedFrom).containsExactly(PEER, other, PEER, other);
        }

        /** Guards against an entry that fetches a version other than the newest first. */
        @Test
        void fetchesFromPeerWithNewestVersionFirst() {
            EntryId newest = new EntryId("zz-newest");
            mSelector.handle(new TableEvent.VersionReceived(1, "a"), 10);
            mSelector.handle(new TableEvent.PeerVersionReported(PEER, 2), 20);
            mSelector.handle(new TableEvent.PeerVersionReported(newest, 4), 30);
            mSelector.handle(new TableEvent.PeerVersionReported(new EntryId("aa"), 3), 40);
            assertThat(mSelector.handle(new TableEvent.Tick(), 600))
                    .containsExactly(new TableAction.FetchFromPeer(newest, 1));
        }

        /** Guards against an entry that is ready before its peers could report their versions. */
        @Test
        void waitsForPeersWhileStoreIsUnreachable() {
            mSelector.handle(new TableEvent.PeerVersionReported(PEER, 1), 100);
            mSelector.handle(new TableEvent.VersionReceived(1, "a"), 200);
            assertThat(mSelector.isReady()).isFalse();
            for (long nowMillis = 300; nowMillis <= 1_400; nowMillis += 100) {
                mSelector.handle(new TableEvent.Tick(), nowMillis);
            }
            assertThat(mSelector.isReady()).isTrue();
        }

        /**
         * Guards against an entry that is ready after a pause in which it may have missed versions.
         */
        @Test
        void isNotReadyAfterPause() {
            mSelector.handle(new TableEvent.VersionReceived(1, "a"), 10);
            mSelector.handle(new TableEvent.StoreSynced(), 20);
            mSelector.handle(new TableEvent.Tick(), 5_000);
            assertThat(mSelector.isReady()).isFalse();
            mSelector.handle(new TableEvent.StoreSynced(), 5_010);
            assertThat(mSelector.isReady()).isTrue();
        }
    }
}
