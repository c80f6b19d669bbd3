package org.lycheeroad.coordination.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.topology.HostPort;

/** Sources that contradict each other. */
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

    private void receiveHeartbeat(long instance, long now) {
        mTracker.handle(
                new MembershipEvent.HeartbeatReceived(identity("e1", instance), false), now);
    }

    private void readVmList(long now, String... ids) {
        List<ListedEntry> entries =
                List.of(ids).stream()
                        .map(id -> new ListedEntry(new EntryId(id), REGION, address(id), false))
                        .toList();
        mTracker.handle(new MembershipEvent.VmListRead(entries), now);
    }

    @Nested
    final class Replacement {
        /** Guards against delayed frames of a replaced VM that revive it. */
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

        /** Guards against a successor that is ignored because its clock is behind. */
        @Test
        void successorWithSmallerInstanceIsAcceptedAfterTimeout() {
            receiveHeartbeat(9, 0);
            receiveHeartbeat(5, MembershipTracker.LIVENESS_TIMEOUT_MILLIS + 1);
            assertThat(mTracker.isCurrentInstance(PEER, 5)).isTrue();
        }

        /** Guards against a quorum that counts the old id of a VM with a new id. */
        @Test
        void newIdAtSameAddressReplacesOldId() {
            receiveHeartbeat(5, 0);
            MemberIdentity next = new MemberIdentity(new EntryId("e7"), 9, REGION, address("e1"));
            mTracker.handle(new MembershipEvent.HeartbeatReceived(next, false), 10);
            assertThat(mTracker.knownEntries(Optional.empty())).doesNotContain(PEER);
        }
    }

    @Nested
    final class Sources {
        /** Guards against a list that makes a dead entry live, or a live one unknown. */
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

        /** Guards against a shrinking majority while one source still names the entry. */
        @Test
        void entryIsRemovedOnlyWhenNoSourceReportsIt() {
            receiveHeartbeat(5, 0);
            mTracker.handle(new MembershipEvent.MemberKeyStored(identity("e1", 5)), 0);
            readVmList(10);
            long late = 10 + MembershipTracker.REMOVAL_DELAY_MILLIS;
            mTracker.handle(new MembershipEvent.Tick(), late);
            assertThat(mTracker.knownEntries(Optional.empty())).contains(PEER);
            mTracker.handle(new MembershipEvent.MemberKeyDeleted(PEER), late + 1);
            assertThat(mTracker.knownEntries(Optional.empty())).doesNotContain(PEER);
        }

        /** Guards against a majority that counts entries which left in order. */
        @Test
        void drainingEntryIsNotAVoter() {
            mTracker.handle(new MembershipEvent.HeartbeatReceived(identity("e1", 5), true), 0);
            assertThat(mTracker.knownEntries(Optional.of(REGION))).doesNotContain(PEER);
        }

        /** Guards against a role that follows an entry which is heard only now and then. */
        @Test
        void flappingEntryIsCandidateOnlyAfterHoldDown() {
            receiveHeartbeat(5, 0);
            assertThat(mTracker.candidates(Optional.empty(), true, 10)).contains(PEER);
            receiveHeartbeat(5, 5_000);
            assertThat(mTracker.candidates(Optional.empty(), true, 5_010)).doesNotContain(PEER);
            for (long now = 5_500; now <= 7_500; now += 500) {
                receiveHeartbeat(5, now);
            }
            assertThat(mTracker.candidates(Optional.empty(), true, 7_510)).contains(PEER);
        }
    }
}
