package org.lycheeroad.coordination.routing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.lycheeroad.state.id.FailureDomainId;
import org.lycheeroad.state.id.TargetId;

/**
 * Reports the load that this entry causes at each target to the other entries.
 *
 * <p>Long requests are reported at the targets on which they run. Short requests end before the
 * peers use the report, so that their targets at one instant would be misleading. They are reported
 * as the mean number since the last report, spread evenly over the usable targets of a failure
 * domain. A mean for each target would make all peers prefer the same targets until the next
 * report.
 */
final class LoadReporter {
    private final Random mRandom;

    LoadReporter(Random random) {
        mRandom = random;
    }

    /** Returns the load at each target that has any, and starts the next reporting period. */
    Map<TargetId, Integer> takeReport(
            Iterable<TargetState> targets, TargetSelector selector, long nowMicros) {
        Map<TargetId, Integer> load = new HashMap<>();
        Map<FailureDomainId, List<TargetState>> usable = new LinkedHashMap<>();
        Map<FailureDomainId, Double> meanShortCounts = new HashMap<>();
        for (TargetState target : targets) {
            add(load, target, target.longCount());
            meanShortCounts.merge(
                    target.mInfo.failureDomain(),
                    target.takeMeanShortCount(nowMicros),
                    Double::sum);
            if (selector.isUsable(target, nowMicros)) {
                usable.computeIfAbsent(target.mInfo.failureDomain(), d -> new ArrayList<>())
                        .add(target);
            }
        }
        usable.forEach(
                (domain, usableTargets) ->
                        distribute(load, usableTargets, meanShortCounts.get(domain)));
        return load;
    }

    /** Distributes a count evenly in integers; which targets get the remainders is random. */
    private void distribute(Map<TargetId, Integer> load, List<TargetState> targets, double count) {
        Collections.shuffle(targets, mRandom);
        double remainder = mRandom.nextDouble();
        for (TargetState target : targets) {
            remainder += count / targets.size();
            int integerPart = (int) remainder;
            remainder -= integerPart;
            add(load, target, integerPart);
        }
    }

    private static void add(Map<TargetId, Integer> load, TargetState target, int count) {
        if (count > 0) {
            load.merge(target.mInfo.id(), count, Integer::sum);
        }
    }
}
