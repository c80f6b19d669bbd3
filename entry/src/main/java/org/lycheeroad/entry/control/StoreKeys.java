package org.lycheeroad.entry.control;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.job.JobSpec;

/** The layout of the keys in the store. */
final class StoreKeys {
    /** The prefix of all keys that entries watch. */
    static final String WATCHED_PREFIX = "/lycheeroad/";

    static final String TABLE_KEY = "/lycheeroad/config/table";
    static final String ROLES_PREFIX = "/lycheeroad/roles/";
    static final String MEMBERS_PREFIX = "/lycheeroad/members/";
    static final String JOBS_PREFIX = "/lycheeroad/jobs/";

    static final String TOKEN_SUFFIX = ".token";

    /**
     * Outside the watched prefix, because claims are many and no entry needs to be notified of
     * them.
     */
    private static final String CLAIMS_PREFIX = "/lycheeroad-claims/";

    private StoreKeys() {}

    /** Returns the key of a role's holder, which is written with the holder's lease. */
    static String roleHolderKey(String role) {
        return ROLES_PREFIX + role;
    }

    /** Returns the key of a role's highest token, which is written without a lease. */
    static String roleTokenKey(String role) {
        return ROLES_PREFIX + role + TOKEN_SUFFIX;
    }

    static String memberKey(EntryId entry) {
        return MEMBERS_PREFIX + entry.value();
    }

    static String jobKey(JobSpec spec) {
        return JOBS_PREFIX + spec.region().value() + "/" + spec.id().value();
    }

    static String claimKey(String team, String key) {
        return CLAIMS_PREFIX + team + "/" + key;
    }

    static String placementRoleName(RegionId region) {
        return "placement-" + region.value();
    }
}
