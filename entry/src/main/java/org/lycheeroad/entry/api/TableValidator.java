package org.lycheeroad.entry.api;

import java.util.List;
import org.lycheeroad.coordination.placement.GuaranteeCheck;
import org.lycheeroad.state.table.TableCsv;
import org.lycheeroad.state.table.TableException;
import org.lycheeroad.state.table.TableProblem;
import org.lycheeroad.state.topology.WorkerInfo;

/** Validates an edited table against the table rules and the workers that the platform lists. */
public final class TableValidator {
    private volatile List<WorkerInfo> mWorkers = List.of();
    private volatile boolean mWorkersKnown;

    /** Replaces the live workers of all regions. */
    public void setWorkers(List<WorkerInfo> workers) {
        mWorkers = List.copyOf(workers);
        mWorkersKnown = true;
    }

    /** Returns whether the workers are known, which is required to validate guarantees. */
    public boolean isReady() {
        return mWorkersKnown;
    }

    /** Returns all problems of the table; the list is empty if the table can be saved. */
    public List<TableProblem> validate(String csv) {
        try {
            return GuaranteeCheck.check(TableCsv.parse(csv), mWorkers);
        } catch (TableException e) {
            return e.problems();
        }
    }
}
