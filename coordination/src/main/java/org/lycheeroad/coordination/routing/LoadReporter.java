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
 * Makes the report of this entry's load for its peers.
 *
 * <p>Long work is reported where it runs. Short work is reported as the mean since the last report,
 * spread evenly over the usable targets of a failure domain: it has ended before the peers use the
 * report, so that its place at one instant misleads them. The mean of each single target would make
 * all peers move to the same targets for the length of one report.
 */
final class LoadReporter {
    private final Random mRandom;

    LoadReporter(Random random) {
        mRandom = random;
    }

    Map<TargetId, Integer> takeReport(
            Iterable<TargetState> all, TargetSelector selector, long now) {
        Map<TargetId, Integer> load = new HashMap<>();
        Map<FailureDomainId, List<TargetState>> usable = new LinkedHashMap<>();
        Map<FailureDomainId, Double> shortWork = new HashMap<>();
        for (TargetState target : all) {
            add(load, target, target.longCount());
            shortWork.merge(
                    target.mInfo.failureDomain(), target.takeMeanShortCount(now), Double::sum);
            if (selector.isUsable(target, now)) {
                usable.computeIfAbsent(target.mInfo.failureDomain(), d -> new ArrayList<>())
                        .add(target);
            }
        }
        usable.forEach((domain, targets) -> distribute(load, targets, shortWork.get(domain)));
        return load;
    }

    /** Spreads a number over the targets in whole ones, the rest at random. */
    private void distribute(Map<TargetId, Integer> load, List<TargetState> targets, double number) {
        Collections.shuffle(targets, mRandom);
        double rest = mRandom.nextDouble();
        for (TargetState target : targets) {
            rest += number / targets.size();
            int whole = (int) rest;
            rest -= whole;
            add(load, target, whole);
        }
    }

    private static void add(Map<TargetId, Integer> load, TargetState target, int number) {
        if (number > 0) {
            load.merge(target.mInfo.id(), number, Integer::sum);
        }
    }
}
