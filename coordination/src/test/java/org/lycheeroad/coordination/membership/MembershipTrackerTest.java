package org.lycheeroad.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/** Tests how contradictory reports from several sources are combined. */
final class MembershipTrackerTest {
    private static final RegionId REGION = new RegionId("r");
    private static final EntryId PEER = new EntryId("e1");

    private final MembershipTracker mTracker = new MembershipTracker(identity("e0", 1));

    private static MemberIdentity identity(String id, long instance) {
        return new MemberIdentity(new EntryId(id), instance, REGION, address(id));
    }

    private static HostPort address(String id) {
        return new HostPort("10.0.0." + id.substring(1), 7000);
    }

    private void receiveHeartbeat(long instance, long nowMillis) {
        mTracker.handle(
                new MembershipEvent.HeartbeatReceived(identity("e1", instance), false), nowMillis);
    }

    private void readVmList(long nowMillis, String... ids) {
        List<ListedEntry> entries =
                List.of(ids).stream()
                        .map(id -> new ListedEntry(new EntryId(id), REGION, address(id), false))
                        .toList();
        mTracker.handle(new MembershipEvent.VmListRead(entries), nowMillis);
    }

    @Nested
    final class Replacement {
        /** Guards against a delayed heartbeat that makes a replaced instance current again. */
        @Test
        void delayedHeartbeatOfPredecessorIsIgnored() {
            receiveHeartbeat(5, 0);
            assertThat(
                            mTracker.handle(
                                    new MembershipEvent.HeartbeatReceived(identity("e1", 9), false),
                                    100))
                    .containsExactly(PEER);
            receiveHeartbeat(5, 200);
            assertThat(mTracker.isCurrentInstance(PEER, 9)).isTrue();
        }

        /**
         * Guards against a new instance that is ignored because its number, its start time, is
         * smaller: the clock of the new VM is behind.
         */
        @Test
        void successorWithSmallerInstanceIsAcceptedAfterTimeout() {
            receiveHeartbeat(9, 0);
            receiveHeartbeat(5, MembershipTracker.LIVENESS_TIMEOUT_MILLIS + 1);
            assertThat(mTracker.isCurrentInstance(PEER, 5)).isTrue();
        }

        /** Guards against a majority that counts both the old and the new id of one VM. */
        @Test
        void newIdAtSameAddressReplacesOldId() {
            receiveHeartbeat(5, 0);
            MemberIdentity successor =
                    new MemberIdentity(new EntryId("e7"), 9, REGION, address("e1"));
            mTracker.handle(new MembershipEvent.HeartbeatReceived(successor, false), 10);
            assertThat(mTracker.knownEntries(Optional.empty())).doesNotContain(PEER);
        }
    }

    @Nested
    final class Sources {
        /** Guards against a VM list that makes a dead entry live, or a live one unknown. */
        @Test
        void onlyHeartbeatsDetermineLiveness() {
            readVmList(0, "e1");
            assertThat(mTracker.isLive(PEER, 0)).isFalse();
            assertThat(mTracker.knownEntries(Optional.of(REGION))).contains(PEER);
            receiveHeartbeat(5, 10);
            readVmList(20);
            assertThat(mTracker.isLive(PEER, 30)).isTrue();
            assertThat(mTracker.knownEntries(Optional.of(REGION))).contains(PEER);
        }

        /** Guards against a majority that shrinks while one source still reports the entry. */
        @Test
        void entryIsRemovedOnlyWhenNoSourceReportsIt() {
            receiveHeartbeat(5, 0);
            mTracker.handle(new MembershipEvent.MemberKeyStored(identity("e1", 5)), 0);
            readVmList(10);
            long afterDelayMillis = 10 + MembershipTracker.REMOVAL_DELAY_MILLIS;
            mTracker.handle(new MembershipEvent.Tick(), afterDelayMillis);
            assertThat(mTracker.knownEntries(Optional.empty())).contains(PEER);
            mTracker.handle(new MembershipEvent.MemberKeyDeleted(PEER), afterDelayMillis + 1);
            assertThat(mTracker.knownEntries(Optional.empty())).doesNotContain(PEER);
        }

        /** Guards against a majority that counts entries which are shutting down. */
        @Test
        void drainingEntryIsNotAVoter() {
            mTracker.handle(new MembershipEvent.HeartbeatReceived(identity("e1", 5), true), 0);
            assertThat(mTracker.knownEntries(Optional.of(REGION))).doesNotContain(PEER);
        }

        /** Guards against an unstable entry that repeatedly gains and loses a role. */
        @Test
        void flappingEntryIsCandidateOnlyAfterHoldDown() {
            receiveHeartbeat(5, 0);
            assertThat(mTracker.candidates(Optional.empty(), true, 10)).contains(PEER);
            receiveHeartbeat(5, 5_000);
            assertThat(mTracker.candidates(Optional.empty(), true, 5_010)).doesNotContain(PEER);
            for (long nowMillis = 5_500; nowMillis <= 7_500; nowMillis += 500) {
                receiveHeartbeat(5, nowMillis);
            }
            assertThat(mTracker.candidates(Optional.empty(), true, 7_510)).contains(PEER);
        }
    }
}
