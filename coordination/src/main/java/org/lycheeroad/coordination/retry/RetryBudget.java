package org.lycheeroad.coordination.retry;

/**
 * Bounds the retries of one team to a share of its requests.
 *
 * <p>Without a bound, retries multiply the load on targets that already fail because of their load.
 */
public final class RetryBudget {
    /** Retries earned by each request. */
    public static final double RETRIES_PER_REQUEST = 0.1;

    /** Lets a team with few requests retry at all. */
    public static final double MAX_SAVED_RETRIES = 20;

    private double mAvailableRetries = MAX_SAVED_RETRIES;

    /** Adds the retries that a new request earns. */
    public void deposit() {
        mAvailableRetries = Math.min(MAX_SAVED_RETRIES, mAvailableRetries + RETRIES_PER_REQUEST);
    }

    /** Takes one retry if the budget allows it. */
    public boolean tryWithdraw() {
        if (mAvailableRetries < 1) {
            return false;
        }
        mAvailableRetries -= 1;
        return true;
    }
}
