package org.lycheeroad.benchmarks.jobs;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.lycheeroad.coordination.jobs.SchedulingPolicies;

/**
 * Compares scheduling policies on the same simulated days.
 *
 * <p>Arguments: the number of seeds (default 50), and a regular expression for the names of the
 * deployments to simulate (default: all).
 */
public final class JobPolicyComparison {
    private static final int DEFAULT_SEEDS = 50;
    private static final long DAY_MS = 34_000;

    /** A quiet day, a busy day and a burst that exceeds the capacity of the workers. */
    private static final List<Double> LOAD_FACTORS = List.of(0.7, 1.0, 1.4);

    private JobPolicyComparison() {}

    public static void main(String[] args) {
        int seeds = args.length > 0 ? Integer.parseInt(args[0]) : DEFAULT_SEEDS;
        String names = args.length > 1 ? args[1] : ".*";
        Map<String, SchedulingPolicies> policies = new LinkedHashMap<>();
        policies.put("standard", SchedulingPolicies.standard());
        policies.put("first come, first served", SchedulingPolicies.firstComeFirstServed());
        for (double loadFactor : LOAD_FACTORS) {
            for (Deployment deployment :
                    List.of(
                            Deployment.shortGangs(loadFactor),
                            Deployment.wideGangs(loadFactor),
                            Deployment.contended(loadFactor),
                            Deployment.uneven(loadFactor))) {
                if (!deployment.name().matches(names)) {
                    continue;
                }
                policies.forEach(
                        (name, policy) -> compare(deployment, loadFactor, name, policy, seeds));
            }
        }
    }

    private static void compare(
            Deployment deployment,
            double loadFactor,
            String name,
            SchedulingPolicies policies,
            int seeds) {
        System.out.println(
                simulate(deployment, policies, seeds)
                        .formatLine(deployment.name() + " " + loadFactor + " " + name));
    }

    private static JobScore simulate(
            Deployment deployment, SchedulingPolicies policies, int seeds) {
        JobScore score = new JobScore();
        for (long seed = 1; seed <= seeds; seed++) {
            List<SimulatedJob> jobs = new JobGenerator(deployment, seed).generate(DAY_MS);
            JobSimulation simulation = new JobSimulation(deployment, policies, jobs, seed);
            double wastedCoreSeconds = simulation.run();
            score.add(deployment, jobs, wastedCoreSeconds, simulation);
        }
        return score;
    }
}
