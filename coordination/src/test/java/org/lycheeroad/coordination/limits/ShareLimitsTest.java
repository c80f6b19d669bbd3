package org.lycheeroad.coordination.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.KindId;
import org.lycheeroad.state.id.TeamId;

/** Tests the division of limits into shares, and token buckets. */
class ShareLimitsTest {
    private static final LimitKey KEY = new LimitKey(new TeamId("t"), new KindId("k"));
    private static final double LIMIT_PER_SECOND = 1_000;
    private static final int ENTRIES = 8;
    private static final long STEP_MILLIS = 10;

    /** Simulates entries and a role holder whose messages may be lost or late, in 10 ms steps. */
    private static final class Cluster {
        private record Message(long dueAtMillis, Runnable deliver) {}

        final List<ShareClient> mClients = new ArrayList<>();
        final List<ShareClient> mReplacedClients = new ArrayList<>();
        final long[] mLastReportAtMillis = new long[ENTRIES];
        final double[] mDemandPerSecond = new double[ENTRIES];
        final boolean[] mDisconnected = new boolean[ENTRIES];
        final Random mRandom;
        final double mLossProbability;
        final int mMaxDelayMillis;
        List<Message> mInFlight = new ArrayList<>();
        ShareAllocator mAllocator;
        long mNowMillis;
        long mLastInstance;

        Cluster(long seed, double lossProbability, int maxDelayMillis) {
            mRandom = new Random(seed);
            mLossProbability = lossProbability;
            mMaxDelayMillis = maxDelayMillis;
            for (int i = 0; i < ENTRIES; i++) {
                mClients.add(null);
                replaceEntry(i);
                mLastReportAtMillis[i] = -mRandom.nextInt(250);
            }
            replaceAllocator(1);
        }

        void replaceEntry(int entry) {
            ShareClient client = new ShareClient(++mLastInstance, ENTRIES, mNowMillis);
            client.setLimits(Map.of(KEY, LIMIT_PER_SECOND));
            ShareClient replaced = mClients.set(entry, client);
            if (replaced != null) {
                mReplacedClients.add(replaced);
            }
        }

        void replaceAllocator(long token) {
            mAllocator = new ShareAllocator(token, ENTRIES, mNowMillis);
            mAllocator.setLimits(Map.of(KEY, LIMIT_PER_SECOND));
        }

        void send(int entry, Runnable deliver) {
            if (!mDisconnected[entry] && mRandom.nextDouble() >= mLossProbability) {
                mInFlight.add(
                        new Message(mNowMillis + 1 + mRandom.nextInt(mMaxDelayMillis), deliver));
            }
        }

        void step() {
            mNowMillis += STEP_MILLIS;
            List<Message> due = new ArrayList<>(mInFlight);
            due.removeIf(m -> m.dueAtMillis() > mNowMillis);
            mInFlight.removeAll(due);
            due.forEach(m -> m.deliver().run());
            for (int i = 0; i < ENTRIES; i++) {
                if (mNowMillis - mLastReportAtMillis[i] >= ShareClient.REPORT_INTERVAL_MILLIS) {
                    report(i);
                }
            }
            if (mNowMillis % ShareAllocator.INTERVAL_MILLIS < STEP_MILLIS) {
                mAllocator
                        .allocate(mNowMillis)
                        .forEach(
                                (id, grant) -> {
                                    int entry = Integer.parseInt(id.value());
                                    ShareClient client = mClients.get(entry);
                                    send(entry, () -> apply(entry, client, grant));
                                });
            }
        }

        private void apply(int entry, ShareClient client, ShareGrant grant) {
            if (client.applyGrant(grant, mNowMillis) && mClients.get(entry) == client) {
                report(entry);
            }
        }

        private void report(int entry) {
            long arrived =
                    Math.round(
                            mDemandPerSecond[entry]
                                    * (mNowMillis - mLastReportAtMillis[entry])
                                    / 1e3);
            mLastReportAtMillis[entry] = mNowMillis;
            DemandReport report =
                    mClients.get(entry).createReport(Map.of(KEY, arrived), mNowMillis);
            ShareAllocator receiver = mAllocator;
            EntryId id = new EntryId(Integer.toString(entry));
            send(entry, () -> receiver.onReport(id, report, mNowMillis));
        }

        double usablePerSecond(int entry) {
            return mClients.get(entry).usablePerSecond(mNowMillis).get(KEY);
        }

        double totalUsablePerSecond() {
            double sum = 0;
            for (int i = 0; i < ENTRIES; i++) {
                sum += usablePerSecond(i);
            }
            // A replaced process may still use its lease, but its base share belongs to the new
            // process.
            for (ShareClient client : mReplacedClients) {
                sum += client.usablePerSecond(mNowMillis).get(KEY) - LIMIT_PER_SECOND / 2 / ENTRIES;
            }
            return sum;
        }

        void run(long millis) {
            for (long endMillis = mNowMillis + millis; mNowMillis < endMillis; ) {
                step();
                assertThat(totalUsablePerSecond()).isLessThanOrEqualTo(LIMIT_PER_SECOND + 1e-6);
            }
        }
    }

    /**
     * Guards against shares that add up to more than the limit when messages are lost, delayed and
     * reordered, entries are disconnected and replaced, and the role holder changes.
     */
    @Property(tries = 150, seed = "20261204")
    void totalUsableNeverExceedsLimit(@ForAll long seed) {
        Random random = new Random(seed);
        Cluster cluster = new Cluster(seed, random.nextDouble() * 0.5, 1 + random.nextInt(2_500));
        long token = 1;
        for (int i = 0; i < 60; i++) {
            int entry = random.nextInt(ENTRIES);
            switch (random.nextInt(8)) {
                case 0 -> cluster.mDisconnected[entry] ^= true;
                case 1 -> cluster.replaceEntry(entry);
                case 2 -> cluster.replaceAllocator(++token);
                default -> cluster.mDemandPerSecond[entry] = random.nextInt(4) * 300.0;
            }
            cluster.run(10 + random.nextInt(1_500));
        }
    }

    @Nested
    class Demand {
        /** Guards against an entry whose demand rises but that keeps its base share. */
        @Test
        void shareFollowsDemandIncreaseWithinOneSecond() {
            Cluster cluster = new Cluster(7, 0, 30);
            java.util.Arrays.fill(cluster.mDemandPerSecond, 10);
            cluster.run(4_000);
            cluster.mDemandPerSecond[3] = 400;
            cluster.run(1_000);
            assertThat(cluster.usablePerSecond(3)).isGreaterThanOrEqualTo(400);
        }

        /** Guards against shares that stay at one entry when its demand moves to another one. */
        @Test
        void shareMovesWithDemandBetweenEntries() {
            Cluster cluster = new Cluster(8, 0, 30);
            cluster.mDemandPerSecond[0] = 500;
            cluster.run(4_000);
            cluster.mDemandPerSecond[0] = 0;
            cluster.mDemandPerSecond[1] = 500;
            cluster.run(1_000);
            assertThat(cluster.usablePerSecond(1)).isGreaterThanOrEqualTo(300);
            cluster.run(1_000);
            assertThat(cluster.usablePerSecond(1)).isGreaterThanOrEqualTo(500);
        }
    }

    @Nested
    class Failures {
        /** Guards against a share that stays unavailable after its entry was disconnected. */
        @Test
        void shareOfDisconnectedEntryIsReclaimed() {
            Cluster cluster = new Cluster(9, 0, 30);
            cluster.mDemandPerSecond[0] = 600;
            cluster.run(4_000);
            cluster.mDisconnected[0] = true;
            cluster.mDemandPerSecond[1] = 560;
            cluster.run(4_500);
            assertThat(cluster.usablePerSecond(0)).isEqualTo(LIMIT_PER_SECOND / 2 / ENTRIES);
            assertThat(cluster.usablePerSecond(1)).isGreaterThanOrEqualTo(500);
        }

        /** Guards against grants of an earlier role holder. */
        @Test
        void grantWithOlderTokenIsRejected() {
            ShareClient client = new ShareClient(1, ENTRIES, 0);
            client.setLimits(Map.of(KEY, LIMIT_PER_SECOND));
            long reportNumber = client.createReport(Map.of(), 10).reportNumber();
            client.rejectTokensBelow(2);
            assertThat(
                            client.applyGrant(
                                    new ShareGrant(1, 5, 1, reportNumber, 2_000, Map.of(KEY, 99.0)),
                                    20))
                    .isFalse();
            assertThat(
                            client.applyGrant(
                                    new ShareGrant(2, 1, 1, reportNumber, 2_000, Map.of(KEY, 99.0)),
                                    20))
                    .isTrue();
        }
    }

    @Nested
    class Bucket {
        /** Guards against more admitted requests than the rate and one burst allow. */
        @Test
        void admitsAtMostRatePlusOneBurst() {
            TokenBucket bucket = new TokenBucket(100, 0);
            int admitted = 0;
            for (long nowMicros = 0; nowMicros <= 1_000_000; nowMicros += 100) {
                admitted += bucket.tryTake(nowMicros) ? 1 : 0;
            }
            assertThat(admitted).isBetween(124, 125);
        }

        /** Guards against a rate so low that the bucket never holds a whole token. */
        @Test
        void rateBelowOneRequestPerBurstAdmits() {
            TokenBucket bucket = new TokenBucket(0.5, 0);
            assertThat(bucket.tryTake(0)).isTrue();
            assertThat(bucket.tryTake(1_900_000)).isFalse();
            assertThat(bucket.tryTake(2_000_000)).isTrue();
        }
    }
}
