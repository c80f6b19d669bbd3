package org.lycheeroad.coordination.overload;

import static org.assertj.core.api.Assertions.assertThat;
import static org.lycheeroad.coordination.overload.Verdict.IN_TIME;
import static org.lycheeroad.coordination.overload.Verdict.LATE;
import static org.lycheeroad.coordination.overload.Verdict.USELESS;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class OverloadPlannerTest {
    private static final long NOW_MS = 50_000;

    private final RoomForecast mRoom = new RoomForecast(1);

    /** Returns work that takes the whole cluster for some time. */
    private static WaitingWork work(long durationMs, double weight, long endsInMs, long usefulMs) {
        return new WaitingWork(
                durationMs, durationMs, weight, NOW_MS + endsInMs, NOW_MS + usefulMs);
    }

    private List<Verdict> plan(WaitingWork... waiting) {
        return OverloadPlanner.plan(List.of(waiting), mRoom, NOW_MS);
    }

    @Nested
    class EnoughRoom {
        @Test
        void nothingGivesWay() {
            assertThat(plan(work(2_000, 1, 2_000, 6_000), work(3_000, 100, 5_000, 9_000)))
                    .containsExactly(IN_TIME, IN_TIME);
        }
    }

    /** More urgent work arrives than fits before its ends. */
    @Nested
    class TooMuchForTheEnds {
        @Test
        void whatIsWorthLeastForItsRoomGivesWay() {
            assertThat(
                            plan(
                                    work(4_000, 40, 4_000, 20_000),
                                    work(4_000, 10, 4_500, 20_000),
                                    work(1_000, 30, 5_000, 20_000)))
                    .containsExactly(IN_TIME, LATE, IN_TIME);
        }

        @Test
        void workThatHadToStartBeforeGivesWayAtOnce() {
            assertThat(plan(work(4_000, 100, 3_999, 20_000), work(3_000, 1, 3_000, 9_000)))
                    .containsExactly(LATE, IN_TIME);
        }

        /** Late work must not take the room of work in time that is worth as much. */
        @Test
        void lateWorkKeepsBehindWorkInTime() {
            assertThat(
                            plan(
                                    work(3_000, 90, 3_000, 9_000),
                                    work(3_000, 50, 3_000, 6_000),
                                    work(3_000, 10, 3_000, 8_000)))
                    .containsExactly(IN_TIME, LATE, USELESS);
        }

        /** A stream of cheap work in time must not starve dear work that has become late. */
        @Test
        void dearLateWorkKeepsItsRoom() {
            assertThat(plan(work(4_000, 100, 3_000, 4_000), work(1_000, 1, 4_500, 9_000)))
                    .containsExactly(LATE, LATE);
        }

        @Test
        void workWithoutAnyUsefulEndIsUseless() {
            assertThat(plan(work(5_000, 9, 1_000, 4_000))).containsExactly(USELESS);
        }
    }

    @Nested
    class RunningWork {
        @Test
        void takesTheRoomUntilItEnds() {
            mRoom.addRunning(1, 3_000);
            assertThat(plan(work(2_000, 1, 4_999, 5_000))).containsExactly(LATE);
            assertThat(plan(work(2_000, 1, 5_000, 5_000))).containsExactly(IN_TIME);
        }

        @Test
        void leavesTheRestOfTheRoom() {
            mRoom.addRunning(0.25, 2_000);
            mRoom.addRunning(0.25, 100_000);
            // 0.5 for 2 s and then 0.75 for 2 s.
            assertThat(mRoom.roomMs(4_000)).isEqualTo(2_500);
            assertThat(mRoom.roomMs(1_000)).isEqualTo(500);
        }
    }

    /** Compares the selection with a check of every end, and the drops with their densities. */
    @Property(seed = "7", tries = 500)
    void workInTimeFitsBeforeEachEnd(
            @ForAll @Size(max = 12) List<@IntRange(min = 1, max = 9_999) Integer> numbers) {
        List<WaitingWork> waiting = new ArrayList<>();
        for (int n : numbers) {
            long durationMs = 200L + n % 1_000;
            long endsInMs = 500 + n * 7L % 4_000;
            waiting.add(work(durationMs, 1 + n % 13, endsInMs, 3 * endsInMs));
        }
        List<Verdict> verdicts = OverloadPlanner.plan(waiting, mRoom, NOW_MS);
        for (WaitingWork last : waiting) {
            double neededMs = 0;
            for (int i = 0; i < waiting.size(); i++) {
                if (verdicts.get(i) == IN_TIME
                        && waiting.get(i).latestEndMs() <= last.latestEndMs()) {
                    neededMs += waiting.get(i).roomMs();
                }
            }
            assertThat(neededMs).isLessThanOrEqualTo((double) (last.latestEndMs() - NOW_MS));
        }
    }
}
