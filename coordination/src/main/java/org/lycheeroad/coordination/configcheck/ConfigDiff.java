package org.lycheeroad.coordination.configcheck;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import org.lycheeroad.state.work.QueueConfig;
import org.lycheeroad.state.work.QueueConfig.AdviceTiming;
import org.lycheeroad.state.work.ServiceName;
import org.lycheeroad.state.work.TeamConfig;

/** Tells what a new configuration changes. API keys are counted, not shown. */
public final class ConfigDiff {
    /**
     * An entry that is added, removed or changed.
     *
     * @param details what changes; empty unless the entry exists in both configurations
     */
    public record Change(Kind kind, String subject, List<String> details) {
        public Change {
            details = List.copyOf(details);
        }
    }

    /** What happens to an entry. */
    public enum Kind {
        ADDED,
        REMOVED,
        CHANGED
    }

    private ConfigDiff() {}

    /** Returns a mistake unless the version is higher than that in force. */
    public static List<ConfigFinding> checkVersion(ConfigDraft inForce, ConfigDraft draft) {
        return draft.version() > inForce.version()
                ? List.of()
                : List.of(
                        ConfigFinding.error(
                                "version " + draft.version(),
                                "is not higher than " + inForce.version() + ", which is in force"));
    }

    /** Returns what differs: queues first, then teams, then services. */
    public static List<Change> changes(ConfigDraft inForce, ConfigDraft draft) {
        List<Change> changes = new ArrayList<>();
        compare(
                byName(inForce.queues(), queue -> "queue " + queue.name()),
                byName(draft.queues(), queue -> "queue " + queue.name()),
                ConfigDiff::queueChanges,
                changes);
        compare(
                byName(inForce.teams(), team -> "team " + team.name()),
                byName(draft.teams(), team -> "team " + team.name()),
                ConfigDiff::teamChanges,
                changes);
        compare(
                byName(sorted(inForce.services()), service -> "service " + service),
                byName(sorted(draft.services()), service -> "service " + service),
                (before, after) -> List.of(),
                changes);
        return changes;
    }

    /** Compares two entries of the same name. */
    private interface Comparison<T> {
        List<String> differences(T before, T after);
    }

    private static List<ServiceName> sorted(Set<ServiceName> services) {
        return services.stream().sorted(Comparator.comparing(ServiceName::value)).toList();
    }

    private static <T> Map<String, T> byName(List<T> entries, Function<T, String> name) {
        Map<String, T> named = new LinkedHashMap<>();
        entries.forEach(entry -> named.put(name.apply(entry), entry));
        return named;
    }

    private static <T> void compare(
            Map<String, T> before,
            Map<String, T> after,
            Comparison<T> comparison,
            List<Change> changes) {
        before.forEach(
                (name, entry) -> {
                    if (!after.containsKey(name)) {
                        changes.add(new Change(Kind.REMOVED, name, List.of()));
                    } else {
                        List<String> details = comparison.differences(entry, after.get(name));
                        if (!details.isEmpty()) {
                            changes.add(new Change(Kind.CHANGED, name, details));
                        }
                    }
                });
        after.keySet().stream()
                .filter(name -> !before.containsKey(name))
                .forEach(name -> changes.add(new Change(Kind.ADDED, name, List.of())));
    }

    private static List<String> queueChanges(QueueConfig before, QueueConfig after) {
        List<String> details = new ArrayList<>();
        addIfDifferent("host", before.host(), after.host(), details);
        addIfDifferent("path prefix", before.pathPrefix(), after.pathPrefix(), details);
        addIfDifferent("service", before.service(), after.service(), details);
        addIfDifferent("priority", before.priority(), after.priority(), details);
        addIfDifferent("attempts", before.maxAttempts(), after.maxAttempts(), details);
        addIfDifferent("slack factor", before.slackFactor(), after.slackFactor(), details);
        addIfDifferent(
                "target latency in ms", before.targetLatencyMs(), after.targetLatencyMs(), details);
        addIfDifferent("anonymous callers", before.anonymous(), after.anonymous(), details);
        addIfDifferent(
                "placement policy", describe(before.advice()), describe(after.advice()), details);
        return details;
    }

    private static String describe(AdviceTiming policy) {
        return policy == null
                ? "none"
                : "decision "
                        + policy.decideMs()
                        + " ms and "
                        + policy.perWorkerMs()
                        + " ms a worker, tickets "
                        + policy.validMs()
                        + " ms";
    }

    private static List<String> teamChanges(TeamConfig before, TeamConfig after) {
        List<String> details = new ArrayList<>();
        addIfDifferent(
                "guaranteed accelerators",
                before.guaranteedAccelerators(),
                after.guaranteedAccelerators(),
                details);
        int added = countMissing(after.apiKeys(), before.apiKeys());
        int removed = countMissing(before.apiKeys(), after.apiKeys());
        if (added + removed > 0) {
            details.add("API keys: " + added + " added, " + removed + " removed");
        }
        return details;
    }

    private static int countMissing(List<String> keys, List<String> others) {
        Set<String> missing = new HashSet<>(keys);
        others.forEach(missing::remove);
        return missing.size();
    }

    private static void addIfDifferent(
            String field, Object before, Object after, List<String> details) {
        if (!before.equals(after)) {
            details.add(field + ": " + before + " -> " + after);
        }
    }
}
