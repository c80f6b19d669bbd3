package org.lycheeroad.coordination.configcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.lycheeroad.state.id.TeamId;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueConfig.AdviceTiming;
import org.lycheeroad.state.work.QueueName;
import org.lycheeroad.state.work.TeamConfig;

/** Finds entries of a configuration that can never match and limits that contradict each other. */
public final class ConfigChecker {
    private final ConfigDraft mDraft;
    private final OptionalLong mAccelerators;
    private final List<ConfigFinding> mFindings = new ArrayList<>();

    private ConfigChecker(ConfigDraft draft, OptionalLong accelerators) {
        mDraft = draft;
        mAccelerators = accelerators;
    }

    /**
     * Returns the mistakes in a configuration, in the order of its entries.
     *
     * @param accelerators how many accelerators the workers have, if that is known
     */
    public static List<ConfigFinding> check(ConfigDraft draft, OptionalLong accelerators) {
        ConfigChecker checker = new ConfigChecker(draft, accelerators);
        checker.checkQueues();
        checker.checkTeams();
        checker.checkGuarantees();
        return List.copyOf(checker.mFindings);
    }

    private void checkQueues() {
        Set<QueueName> names = new HashSet<>();
        Map<String, QueueName> locations = new HashMap<>();
        for (QueueConfig queue : mDraft.queues()) {
            String subject = subjectOf(queue);
            if (!names.add(queue.name())) {
                error(subject, "is defined twice");
            }
            checkLocation(queue, locations);
            if (!mDraft.services().contains(queue.service())) {
                error(subject, "leads to service \"" + queue.service() + "\", which is missing");
            }
            checkLimits(queue);
        }
    }

    private void checkLocation(QueueConfig queue, Map<String, QueueName> locations) {
        if (queue.host().isEmpty()) {
            error(subjectOf(queue), "has no host, so no call matches it");
        }
        if (!queue.pathPrefix().startsWith("/")) {
            error(
                    subjectOf(queue),
                    "has the path prefix \""
                            + queue.pathPrefix()
                            + "\", with which no path begins");
        }
        String location = queue.host().toLowerCase(Locale.ROOT) + " " + queue.pathPrefix();
        QueueName first = locations.putIfAbsent(location, queue.name());
        if (first != null) {
            error(
                    subjectOf(queue),
                    "is hidden by queue " + first + ", which has the same host and path prefix");
        }
    }

    private void checkLimits(QueueConfig queue) {
        String subject = subjectOf(queue);
        if (queue.priority() < 0) {
            error(subject, "has the priority " + queue.priority() + "; 0 is the highest");
        }
        if (queue.targetLatencyMs() < 0) {
            error(subject, "has a target latency of " + queue.targetLatencyMs() + " ms");
        }
        if (queue.slackFactor() < 1) {
            warning(
                    subject,
                    "has the slack factor "
                            + queue.slackFactor()
                            + ", so long jobs count as late even on idle workers");
        }
        AdviceTiming advice = queue.advice();
        if (advice != null && advice.validMs() <= advice.decideMs() + advice.perWorkerMs()) {
            warning(
                    subject,
                    "has tickets that are valid for "
                            + advice.validMs()
                            + " ms, no longer than the decision about one worker takes");
        }
    }

    private void checkTeams() {
        Set<TeamId> names = new HashSet<>();
        Map<String, TeamId> holders = new HashMap<>();
        for (TeamConfig team : mDraft.teams()) {
            String subject = subjectOf(team);
            if (!names.add(team.name())) {
                error(subject, "is defined twice");
            }
            if (team.apiKeys().isEmpty()) {
                warning(subject, "has no API key, so it cannot submit jobs");
            }
            for (String key : team.apiKeys()) {
                TeamId holder = holders.putIfAbsent(key, team.name());
                if (key.isEmpty()) {
                    error(subject, "has an empty API key");
                } else if (holder != null && !holder.equals(team.name())) {
                    error(subject, "shares an API key with team " + holder);
                } else if (holder != null) {
                    warning(subject, "has an API key twice");
                }
            }
        }
    }

    private void checkGuarantees() {
        long sum = 0;
        for (TeamConfig team : mDraft.teams()) {
            if (team.guaranteedAccelerators() < 0) {
                error(subjectOf(team), "is guaranteed less than 0 accelerators");
            }
            sum += Math.max(0, team.guaranteedAccelerators());
        }
        if (mAccelerators.isPresent() && sum > mAccelerators.getAsLong()) {
            error(
                    "guarantees",
                    "add up to "
                            + sum
                            + " accelerators; the workers have "
                            + mAccelerators.getAsLong());
        }
        if (sum > 0 && mDraft.queues().stream().noneMatch(queue -> queue.priority() == 0)) {
            warning("guarantees", "have no effect, as no queue has priority 0");
        }
    }

    private void error(String subject, String problem) {
        mFindings.add(ConfigFinding.error(subject, problem));
    }

    private void warning(String subject, String problem) {
        mFindings.add(ConfigFinding.warning(subject, problem));
    }

    private static String subjectOf(QueueConfig queue) {
        return "queue " + queue.name();
    }

    private static String subjectOf(TeamConfig team) {
        return "team " + team.name();
    }
}
