package org.lycheeroad.standins.workers;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against a checker that misses a partial run or reports a valid run as a violation. */
class GangCheckerTest {
    @Nested
    class ValidRuns {
        @Test
        void allMembersRunToTheEnd() {
            assertThat(
                            findViolations(
                                    taskRun(0, 1, 0, 500, "DONE"), taskRun(1, 1, 20, 520, "DONE")))
                    .isEmpty();
        }

        @Test
        void remainingMembersStopWithinTheLeaseAfterALoss() {
            assertThat(
                            findViolations(
                                    taskRun(0, 1, 0, 1_000, "KILLED"),
                                    taskRun(1, 1, 0, 7_000, "LAPSED"),
                                    taskRun(0, 2, 7_500, 8_000, "DONE"),
                                    taskRun(1, 2, 7_500, 8_000, "DONE")))
                    .isEmpty();
        }
    }

    @Nested
    class Violations {
        @Test
        void memberNeverStarts() {
            assertThat(findViolations(taskRun(0, 1, 0, 3_500, "STOPPED"))).isNotEmpty();
        }

        @Test
        void memberRunsTooLongAfterTheLossOfAnother() {
            assertThat(
                            findViolations(
                                    taskRun(0, 1, 0, 100, "KILLED"),
                                    taskRun(1, 1, 0, 6_600, "STOPPED")))
                    .isNotEmpty();
        }

        @Test
        void attemptsOverlap() {
            assertThat(
                            findViolations(
                                    taskRun(0, 1, 0, 900, "STOPPED"),
                                    taskRun(0, 2, 800, 900, "DONE")))
                    .isNotEmpty();
        }

        @Test
        void reportedDoneWithoutAllMembers() {
            assertThat(findViolations(taskRun(0, 1, 0, 900, "DONE"))).isNotEmpty();
        }

        @Test
        void reportedDoneWithoutAnyRun() {
            assertThat(new GangChecker(List.of(), Set.of("j")).violations()).isNotEmpty();
        }
    }

    private static List<String> findViolations(TaskRun... runs) {
        return new GangChecker(List.of(runs), Set.of("j")).violations();
    }

    private static TaskRun taskRun(
            int member, int attempt, long startMs, long endMs, String ended) {
        return new TaskRun("j", member, 2, attempt, "w" + member, 8, startMs, endMs, ended);
    }
}
