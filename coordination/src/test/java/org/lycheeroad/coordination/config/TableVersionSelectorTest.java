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

/** Versions in any order from a store that answers stale, and from peers. */
final class TableVersionSelectorTest {
    private static final EntryId PEER = new EntryId("e1");

    /** Guards against an older version in force after a newer one, and against a missed one. */
    @Property(tries = 300, seed = "91")
    void activeVersionIsNewestReceived(@ForAll long seed) {
        Random random = new Random(seed);
        TableVersionSelector keeper = new TableVersionSelector(0);
        long now = 0;
        long inForce = 0;
        long newest = 0;
        for (int i = 0; i < 200; i++) {
            now += random.nextInt(2_000);
            long version = random.nextInt(50);
            boolean received = random.nextInt(3) == 0;
            TableEvent event =
                    received
                            ? new TableEvent.VersionReceived(version, "v" + version)
                            : random.nextBoolean()
                                    ? new TableEvent.PeerVersionReported(PEER, version)
                                    : new TableEvent.StoreSynced();
            newest = received ? Math.max(newest, version) : newest;
            for (TableAction action : keeper.handle(event, now)) {
                if (action instanceof TableAction.Apply apply) {
                    assertThat(apply.version()).isGreaterThan(inForce);
                    assertThat(apply.csv()).isEqualTo("v" + apply.version());
                    inForce = apply.version();
                }
            }
            assertThat(inForce).isEqualTo(newest).isEqualTo(keeper.version());
        }
    }

    @Nested
    final class Readiness {
        private final TableVersionSelector mSelector = new TableVersionSelector(0);

        /** Guards against an entry that serves an old table while a peer has a newer one. */
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

        /** Guards against an entry that waits for one silent peer while others have the table. */
        @Test
        void fetchesFromNextPeerWhenOneDoesNotAnswer() {
            EntryId other = new EntryId("zz-other");
            EntryId older = new EntryId("older");
            mSelector.handle(new TableEvent.VersionReceived(1, "a"), 10);
            List<EntryId> asked = new ArrayList<>();
            for (long now = 100; now < 2_100; now += 100) {
                for (TableEvent event :
                        List.of(
                                new TableEvent.PeerVersionReported(PEER, 3),
                                new TableEvent.PeerVersionReported(other, 3),
                                new TableEvent.PeerVersionReported(older, 1))) {
                    mSelector.handle(event, now).stream()
                            .map(action -> ((TableAction.FetchFromPeer) action).peer())
                            .forEach(asked::add);
                }
            }
            assertThat(asked).containsExactly(PEER, other, PEER, other);
        }

        /** Guards against an entry that asks for an older table first. */
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

        /** Guards against an entry that is ready before its peers could tell their versions. */
        @Test
        void waitsForPeersWhileStoreIsUnreachable() {
            mSelector.handle(new TableEvent.PeerVersionReported(PEER, 1), 100);
            mSelector.handle(new TableEvent.VersionReceived(1, "a"), 200);
            assertThat(mSelector.isReady()).isFalse();
            for (long now = 300; now <= 1_400; now += 100) {
                mSelector.handle(new TableEvent.Tick(), now);
            }
            assertThat(mSelector.isReady()).isTrue();
        }

        /** Guards against an entry that is ready after a pause in which it missed versions. */
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
