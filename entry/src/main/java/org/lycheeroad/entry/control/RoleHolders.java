package org.lycheeroad.entry.control;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.lycheeroad.coordination.roles.StoredRole;
import org.lycheeroad.state.id.EntryId;

/** The holder of each role with the highest token seen in heartbeats and in the store. */
final class RoleHolders {
    private final Map<String, StoredRole> mHolderByRole = new HashMap<>();

    void observe(String role, StoredRole holder) {
        mHolderByRole.merge(
                role,
                holder,
                (known, observed) -> observed.token() >= known.token() ? observed : known);
    }

    Optional<EntryId> findHolder(String role) {
        return Optional.ofNullable(mHolderByRole.get(role)).map(StoredRole::holder);
    }
}
