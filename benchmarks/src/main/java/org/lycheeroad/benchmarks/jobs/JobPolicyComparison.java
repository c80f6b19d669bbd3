package org.lycheeroad.benchmarks.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.coordination.jobs.SchedulingPolicies;

/** Compares policies on the same seeded days; arguments: the number of seeds, 50 if left out. */
public final class JobPolicyComparison {
    private static final int SEEDS = 50;
    private static final long DAY_MS = 34_000;

    /** As on a quiet day, on a busy one, and as in a burst that more than fills the workers. */
    private static final List<Double> LOADS = List.of(0.7, 1.0, 1.4);

    private JobPolicyComparison() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : SEEDS;
        Map<String, SchedulingPolicies> policies = new LinkedHashMap<>();
        policies.put("standard", SchedulingPolicies.standard());
        policies.put("first come, first served", SchedulingPolicies.firstComeFirstServed());
        for (double load : LOADS) {
            for (Deployment deployment :
                    List.of(Deployment.shortGangs(load), Deployment.wideGangs(load))) {
                policies.forEach((name, p) -> compare(deployment, load, name, p, seeds));
            }
        }
    }

    private static void compare(
            Deployment deployment,
            double load,
            String name,
            SchedulingPolicies policies,
            int seeds) {
        System.out.println(
                play(deployment, policies, seeds)
                        .line(deployment.name() + " " + load + " " + name));
    }

    private static JobScore play(Deployment deployment, SchedulingPolicies policies, int seeds) {
        JobScore score = new JobScore();
        for (long seed = 1; seed <= seeds; seed++) {
            List<ModelJob> jobs = new JobLoad(deployment, seed).draw(DAY_MS);
            JobModel model = new JobModel(deployment, policies, jobs, seed);
            double wasted = model.play();
            score.add(deployment, jobs, wasted, model.remoteStarts());
        }
        return score;
    }
}
