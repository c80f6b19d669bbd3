package org.lycheeroad.coordination.limits;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.lycheeroad.state.table.OperatorTable;
import org.lycheeroad.state.table.TableRow;
import org.lycheeroad.state.table.WorkClass;

/**
 * Extracts the request limits from the operators' table.
 *
 * <p>A limit applies to all regions together. If a team and kind has rows for several regions,
 * their limits are added up; if any of these rows has no limit, there is none.
 */
public final class TableLimits {
    private TableLimits() {}

    /** Returns the limits in requests per second; keys without a limit are absent. */
    public static Map<LimitKey, Double> of(OperatorTable table) {
        Map<LimitKey, Double> limits = new HashMap<>();
        Set<LimitKey> unlimited = new HashSet<>();
        for (TableRow row : table.rows()) {
            if (row.work() != WorkClass.REQUEST) {
                continue;
            }
            LimitKey key = new LimitKey(row.team(), row.kind());
            if (row.limit().isPresent()) {
                limits.merge(key, (double) row.limit().getAsLong(), Double::sum);
            } else {
                unlimited.add(key);
            }
        }
        limits.keySet().removeAll(unlimited);
        return limits;
    }
}
