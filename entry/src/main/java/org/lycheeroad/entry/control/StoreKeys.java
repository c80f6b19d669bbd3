package org.lycheeroad.entry.control;

import org.lycheeroad.state.id.EntryId;
import org.lycheeroad.state.id.RegionId;
import org.lycheeroad.state.job.JobSpec;

/** The keys of the store. */
final class StoreKeys {
    /** Everything that entries watch. */
    static final String WATCHED_PREFIX = "/lycheeroad/";

    static final String TABLE_KEY = "/lycheeroad/config/table";
    static final String ROLES_PREFIX = "/lycheeroad/roles/";
    static final String MEMBERS_PREFIX = "/lycheeroad/members/";
    static final String JOBS_PREFIX = "/lycheeroad/jobs/";

    static final String TOKEN_SUFFIX = ".token";

    /** Claims are many and nobody needs to hear of them, so they are not watched. */
    private static final String CLAIMS_PREFIX = "/lycheeroad-claims/";

    private StoreKeys() {}

    /** The holder of a role, under the holder's lease. */
    static String roleHolderKey(String role) {
        return ROLES_PREFIX + role;
    }

    /** The highest token of a role, which outlives the leases. */
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
