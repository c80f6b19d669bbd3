package org.lycheeroad.coordination.configcheck;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.lycheeroad.coordination.configcheck.ConfigFinding.Severity;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueConfig.AdviceTiming;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.TeamConfig;

class ConfigCheckerTest {
    private static final QueueConfig URGENT = queue("urgent", "/u/", "service", 0, 1.5, null);
    private static final TeamConfig TEAM = team("a", 8, "key-a");

    private static QueueConfig queue(
            String name,
            String prefix,
            String service,
            int priority,
            double slack,
            AdviceTiming advice) {
        return new QueueConfig(
                new QueueName(name),
                "host",
                prefix,
                new ServiceName(service),
                priority,
                3,
                slack,
                600,
                false,
                advice);
    }

    private static TeamConfig team(String name, int guarantee, String... keys) {
        return new TeamConfig(new TeamId(name), List.of(keys), guarantee);
    }

    private static ConfigDraft draft(List<QueueConfig> queues, List<TeamConfig> teams) {
        return new ConfigDraft(2, queues, teams, Set.of(new ServiceName("service")));
    }

    private static List<ConfigFinding> check(List<QueueConfig> queues, TeamConfig... teams) {
        return ConfigChecker.check(draft(queues, List.of(teams)), OptionalLong.of(16));
    }

    @Test
    void soundConfigurationHasNoFindings() {
        assertThat(check(List.of(URGENT), TEAM, team("b", 8, "key-b"))).isEmpty();
    }

    @Nested
    class Queues {
        @Test
        void queueHiddenByAnotherIsFound() {
            checkSingleFinding(
                    check(List.of(URGENT, queue("other", "/u/", "service", 1, 2, null)), TEAM),
                    Severity.ERROR,
                    "queue other");
        }

        @Test
        void queueOfAMissingServiceIsFound() {
            checkSingleFinding(
                    check(List.of(URGENT, queue("other", "/o/", "gone", 1, 2, null)), TEAM),
                    Severity.ERROR,
                    "queue other");
        }

        @Test
        void contradictingLimitsAreFound() {
            assertThat(check(List.of(queue("q", "/q/", "service", -1, 1, null)))).hasSize(1);
            checkSingleFinding(
                    check(List.of(queue("q", "/q/", "service", 0, 0.5, null))),
                    Severity.WARNING,
                    "queue q");
            AdviceTiming tooShort = new AdviceTiming(100, 10, 110);
            checkSingleFinding(
                    check(List.of(queue("q", "/q/", "service", 0, 1, tooShort))),
                    Severity.WARNING,
                    "queue q");
        }
    }

    @Nested
    class Teams {
        @Test
        void keyOfTwoTeamsIsFound() {
            checkSingleFinding(
                    check(List.of(URGENT), TEAM, team("b", 0, "key-a")), Severity.ERROR, "team b");
        }

        @Test
        void teamWithoutKeyIsFound() {
            checkSingleFinding(
                    check(List.of(URGENT), TEAM, team("b", 0)), Severity.WARNING, "team b");
        }

        @Test
        void guaranteesBeyondTheCapacityAreFound() {
            checkSingleFinding(
                    check(List.of(URGENT), TEAM, team("b", 9, "key-b")),
                    Severity.ERROR,
                    "guarantees");
        }

        @Test
        void guaranteesThatNoQueueUsesAreFound() {
            checkSingleFinding(
                    check(List.of(queue("bulk", "/b/", "service", 1, 2, null)), TEAM),
                    Severity.WARNING,
                    "guarantees");
        }
    }

    @Nested
    class Differences {
        @Test
        void entriesOfAllKindsAreCompared() {
            ConfigDraft inForce =
                    draft(
                            List.of(URGENT, queue("old", "/o/", "service", 1, 2, null)),
                            List.of(TEAM));
            ConfigDraft changed =
                    draft(
                            List.of(queue("urgent", "/u/", "service", 0, 2, null)),
                            List.of(team("a", 8, "key-c"), team("b", 0, "key-b")));
            assertThat(ConfigDiff.changes(inForce, changed))
                    .containsExactly(
                            new ConfigDiff.Change(
                                    ConfigDiff.Kind.CHANGED,
                                    "queue urgent",
                                    List.of("slack factor: 1.5 -> 2.0")),
                            new ConfigDiff.Change(ConfigDiff.Kind.REMOVED, "queue old", List.of()),
                            new ConfigDiff.Change(
                                    ConfigDiff.Kind.CHANGED,
                                    "team a",
                                    List.of("API keys: 1 added, 1 removed")),
                            new ConfigDiff.Change(ConfigDiff.Kind.ADDED, "team b", List.of()));
        }

        /** A version that is not higher is ignored by the daemons. */
        @Test
        void versionThatIsNotHigherIsFound() {
            ConfigDraft draft = draft(List.of(URGENT), List.of(TEAM));
            checkSingleFinding(ConfigDiff.checkVersion(draft, draft), Severity.ERROR, "version 2");
        }
    }

    private static void checkSingleFinding(
            List<ConfigFinding> findings, Severity severity, String subject) {
        assertThat(findings).hasSize(1);
        assertThat(findings.get(0).severity()).isEqualTo(severity);
        assertThat(findings.get(0).subject()).isEqualTo(subject);
    }
}
