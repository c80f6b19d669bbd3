package org.lycheeroad.coordination.retry;

/**
 * Limits the retries of one team to a fraction of its requests.
 *
 * <p>Unlimited retries would multiply the load on targets that fail because they are overloaded.
 */
public final class RetryBudget {
    /** Number of retries that each request adds to the budget. */
    public static final double RETRIES_PER_REQUEST = 0.1;

    /** Initial and greatest budget; lets a team with few requests retry at all. */
    public static final double MAX_AVAILABLE_RETRIES = 20;

    private double mAvailableRetries = MAX_AVAILABLE_RETRIES;

    /** Adds the retries for a new request to the budget. */
    public void deposit() {
        mAvailableRetries =
                Math.min(MAX_AVAILABLE_RETRIES, mAvailableRetries + RETRIES_PER_REQUEST);
    }

    /** Takes one retry from the budget, and returns whether the budget allows it. */
    public boolean tryWithdraw() {
        if (mAvailableRetries < 1) {
            return false;
        }
        mAvailableRetries -= 1;
        return true;
    }
}
